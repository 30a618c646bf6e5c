package org.sageladder.bench.atmostonce;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import org.sageladder.bench.process.Caller;
import org.sageladder.bench.process.EntryProcess;
import org.sageladder.bench.process.Reply;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.target.RequestChecksum;

/**
 * A caller that sends bids one after another, retries those that timed out through random entry
 * VMs, and sends some delayed duplicates.
 */
final class Bidder {
  private static final Duration DEADLINE = Duration.ofSeconds(3);
  private static final Duration CLIENT_TIMEOUT = Duration.ofMillis(400);
  private static final long MAX_PAUSE_MILLIS = 1_000;
  private static final int MAX_COPIES = 12;
  private static final int ANSWER_BYTES = 64;
  private static final double DELAYED_COPY_FRACTION = 0.05;

  private final TestBed bed;
  private final Caller caller;
  private final OutcomeLog outcomes;
  private final ExecutorService delayedCopies;
  private final SplittableRandom random;

  Bidder(
      TestBed bed, Caller caller, OutcomeLog outcomes, ExecutorService delayedCopies, long seed) {
    this.bed = bed;
    this.caller = caller;
    this.outcomes = outcomes;
    this.delayedCopies = delayedCopies;
    this.random = new SplittableRandom(seed);
  }

  /** Places one bid and retries it until it has run or the attempts are exhausted. */
  void placeBid(String work) throws InterruptedException {
    String permit = "";
    for (int attempt = 0; attempt < MAX_COPIES && permit.isEmpty(); attempt++) {
      permit = send(randomPort(), work + ".0", "").permit();
    }
    for (int attempt = 1; attempt <= 3 && !permit.isEmpty(); attempt++) {
      String key = work + "." + attempt;
      Reply last = sendUntilFinal(key, permit);
      if (!last.isNotRun()) {
        return;
      }
      outcomes.recordRefusal(last.result());
      permit = last.permit();
      // Required by docs/CALLERS.md: a caller that retries earlier than Retry-After is refused
      // again and uses up its attempts for a bid that would have run.
      Thread.sleep(Math.min(last.retryAfterMillis(), MAX_PAUSE_MILLIS));
    }
  }

  /** Sends copies of a request under one permit until the reported outcome is final. */
  private Reply sendUntilFinal(String key, String permit) throws InterruptedException {
    outcomes.recordOutcome(key, OutcomeLog.ReportedOutcome.UNKNOWN);
    Reply reply = Reply.TIMEOUT;
    for (int copy = 0; copy < MAX_COPIES; copy++) {
      if (random.nextDouble() < DELAYED_COPY_FRACTION) {
        sendDelayedCopy(key, permit, 20 + random.nextInt(1500));
      }
      reply = send(randomPort(), key, permit);
      recordReply(key, reply);
      if (reply.ran() || reply.isNotRun()) {
        return reply;
      }
      Thread.sleep(20 + random.nextInt(60));
    }
    return reply;
  }

  /** Sends a copy as if delayed by the network; the outcome reported to it counts as well. */
  private void sendDelayedCopy(String key, String permit, int delayMillis) {
    int port = randomPort();
    Future<?> unused =
        delayedCopies.submit(
            () -> {
              Thread.sleep(delayMillis);
              recordReply(key, send(port, key, permit));
              return null;
            });
  }

  private void recordReply(String key, Reply reply) {
    if (reply.ran()) {
      outcomes.recordOutcome(key, OutcomeLog.ReportedOutcome.RAN);
      boolean hasKeptAnswer = !reply.result().contains("ANSWER_NOT_KEPT");
      if (hasKeptAnswer && !reply.isAnswerTo(checksum(key), ANSWER_BYTES)) {
        outcomes.recordWrongAnswer();
      }
    } else if (reply.isNotRun()) {
      outcomes.recordOutcome(key, OutcomeLog.ReportedOutcome.NOT_RUN);
    }
  }

  private Reply send(int port, String key, String permit) throws InterruptedException {
    return caller.send(
        port, "POST", "bids", path(key), body(key), permit, DEADLINE, CLIENT_TIMEOUT);
  }

  private static String path(String key) {
    return "/lots/7?answerBytes=" + ANSWER_BYTES + "&work=" + key;
  }

  private static byte[] body(String key) {
    return ("{\"bid\":\"" + key + "\"}").getBytes(StandardCharsets.UTF_8);
  }

  private static long checksum(String key) {
    return RequestChecksum.of("POST", path(key), body(key));
  }

  private int randomPort() {
    EntryProcess entry = bed.entries().get(random.nextInt(bed.entries().size()));
    return entry.callersPort();
  }
}
