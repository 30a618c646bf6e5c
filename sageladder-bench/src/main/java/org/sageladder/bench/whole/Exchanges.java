package org.sageladder.bench.whole;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.sageladder.bench.process.Caller;
import org.sageladder.bench.process.Reply;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.target.RequestChecksum;

/** Sends many small requests, some of which the callers abandon after a short timeout. */
final class Exchanges {
  private static final int CALLERS = 64;
  private static final Duration DEADLINE = Duration.ofSeconds(4);
  private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(6);
  private static final Duration SHORT_CLIENT_TIMEOUT = Duration.ofMillis(8);
  private static final double ABANDONED_FRACTION = 0.01;
  private static final double CHUNKED_FRACTION = 0.3;
  private static final int MAX_SMALL_BYTES = 1_024;
  private static final int MAX_LARGE_BYTES = 200_000;

  /** One in this many requests asks for a response of up to {@link #MAX_LARGE_BYTES}. */
  private static final int LARGE_RESPONSE_INTERVAL = 200;

  private final TestBed bed;
  final LongAdder completeCount = new LongAdder();
  final LongAdder wrongRequestCount = new LongAdder();
  final LongAdder truncatedAsSuccessCount = new LongAdder();
  final LongAdder cutCount = new LongAdder();
  final LongAdder abandonedCount = new LongAdder();
  final LongAdder refusedCount = new LongAdder();

  Exchanges(TestBed bed) {
    this.bed = bed;
  }

  void run(long count) throws InterruptedException, ExecutionException {
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    AtomicLong next = new AtomicLong();
    List<Future<?>> running = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      int seed = i;
      running.add(
          callers.submit(
              () -> {
                Caller caller = Caller.create();
                SplittableRandom random = new SplittableRandom(seed);
                for (long n = next.getAndIncrement(); n < count; n = next.getAndIncrement()) {
                  sendOne(caller, random, n);
                }
                return null;
              }));
    }
    for (Future<?> each : running) {
      each.get();
    }
    callers.shutdown();
  }

  private void sendOne(Caller caller, SplittableRandom random, long number)
      throws InterruptedException {
    int bytes =
        random.nextInt(LARGE_RESPONSE_INTERVAL) == 0
            ? random.nextInt(MAX_LARGE_BYTES)
            : random.nextInt(MAX_SMALL_BYTES);
    String chunked = random.nextDouble() < CHUNKED_FRACTION ? "&chunked" : "";
    String path = "/lots?answerBytes=" + bytes + "&work=" + number + chunked;
    boolean isAbandoned = random.nextDouble() < ABANDONED_FRACTION;
    int port = bed.entries().get(random.nextInt(bed.entries().size())).callersPort();
    Reply reply =
        caller.send(
            port,
            "GET",
            "listings",
            path,
            new byte[0],
            "",
            DEADLINE,
            isAbandoned ? SHORT_CLIENT_TIMEOUT : CLIENT_TIMEOUT);
    count(reply, RequestChecksum.of("GET", path, new byte[0]), bytes);
  }

  private void count(Reply reply, long checksum, int bytes) {
    if (reply.hasNoAnswer()) {
      (reply.result().equals("timeout") ? abandonedCount : cutCount).increment();
    } else if (!reply.ran()) {
      refusedCount.increment();
    } else if (reply.isAnswerTo(checksum, bytes)) {
      completeCount.increment();
    } else if (reply.echoedChecksum() == checksum && reply.body().length < bytes) {
      truncatedAsSuccessCount.increment();
    } else {
      wrongRequestCount.increment();
    }
  }

  void print() {
    System.out.println(
        "exchanges: whole "
            + completeCount
            + ", cut and seen as cut "
            + cutCount
            + ", given up by the caller "
            + abandonedCount
            + ", refused or unknown "
            + refusedCount);
    System.out.println("answers of another request: " + wrongRequestCount);
    System.out.println("short answers delivered as success: " + truncatedAsSuccessCount);
  }
}
