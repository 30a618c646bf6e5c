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
 * A caller that sends bids one after another, resends what timed out through other entry VMs, and
 * lets some copies come late.
 */
final class Bidder {
  private static final Duration DEADLINE = Duration.ofSeconds(3);
  private static final Duration PATIENCE = Duration.ofMillis(400);
  private static final long LONGEST_PAUSE_MILLIS = 1_000;
  private static final int MOST_COPIES = 12;
  private static final int ANSWER_BYTES = 64;
  private static final double STRAY_SHARE = 0.05;

  private final TestBed bed;
  private final Caller caller;
  private final Ledger ledger;
  private final ExecutorService strays;
  private final SplittableRandom random;

  Bidder(TestBed bed, Caller caller, Ledger ledger, ExecutorService strays, long seed) {
    this.bed = bed;
    this.caller = caller;
    this.ledger = ledger;
    this.strays = strays;
    this.random = new SplittableRandom(seed);
  }

  /** Places one bid and follows it until it ran or hope is given up. */
  void bid(String work) throws InterruptedException {
    String permit = "";
    for (int attempt = 0; attempt < MOST_COPIES && permit.isEmpty(); attempt++) {
      permit = send(anyPort(), work + ".0", "").permit();
    }
    for (int attempt = 1; attempt <= 3 && !permit.isEmpty(); attempt++) {
      String key = work + "." + attempt;
      Reply last = follow(key, permit);
      if (!last.notRun()) {
        return;
      }
      ledger.refused(last.result());
      permit = last.permit();
      // As docs/CALLERS.md asks: who comes back sooner than told is refused again, and gives up on
      // a bid that would have run.
      Thread.sleep(Math.min(last.retryAfterMillis(), LONGEST_PAUSE_MILLIS));
    }
  }

  /** Sends copies under one permit until an answer is final. */
  private Reply follow(String key, String permit) throws InterruptedException {
    ledger.told(key, Ledger.Told.UNKNOWN);
    Reply reply = Reply.TIMEOUT;
    for (int copy = 0; copy < MOST_COPIES; copy++) {
      if (random.nextDouble() < STRAY_SHARE) {
        stray(key, permit, 20 + random.nextInt(1500));
      }
      reply = send(anyPort(), key, permit);
      note(key, reply);
      if (reply.ran() || reply.notRun()) {
        return reply;
      }
      Thread.sleep(20 + random.nextInt(60));
    }
    return reply;
  }

  /** A copy that the network held back; whatever it is answered counts as told. */
  private void stray(String key, String permit, int afterMillis) {
    int port = anyPort();
    Future<?> unused =
        strays.submit(
            () -> {
              Thread.sleep(afterMillis);
              note(key, send(port, key, permit));
              return null;
            });
  }

  private void note(String key, Reply reply) {
    if (reply.ran()) {
      ledger.told(key, Ledger.Told.RAN);
      boolean kept = !reply.result().contains("ANSWER_NOT_KEPT");
      if (kept && !reply.isAnswerTo(checksum(key), ANSWER_BYTES)) {
        ledger.wrongAnswer();
      }
    } else if (reply.notRun()) {
      ledger.told(key, Ledger.Told.NOT_RUN);
    }
  }

  private Reply send(int port, String key, String permit) throws InterruptedException {
    return caller.send(port, "POST", "bids", path(key), body(key), permit, DEADLINE, PATIENCE);
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

  private int anyPort() {
    EntryProcess entry = bed.entries().get(random.nextInt(bed.entries().size()));
    return entry.callersPort();
  }
}
