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

/** Many small exchanges, some of which their callers give up. */
final class Exchanges {
  private static final int CALLERS = 64;
  private static final Duration DEADLINE = Duration.ofSeconds(4);
  private static final Duration PATIENCE = Duration.ofSeconds(6);
  private static final Duration HASTE = Duration.ofMillis(8);
  private static final double GIVEN_UP_SHARE = 0.01;
  private static final double CHUNKED_SHARE = 0.3;
  private static final int USUAL_BYTES = 1_024;
  private static final int LARGE_BYTES = 200_000;
  private static final int LARGE_ONE_IN = 200;

  private final TestBed bed;
  final LongAdder whole = new LongAdder();
  final LongAdder ofAnother = new LongAdder();
  final LongAdder shortAsSuccess = new LongAdder();
  final LongAdder cut = new LongAdder();
  final LongAdder givenUp = new LongAdder();
  final LongAdder refused = new LongAdder();

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
                  one(caller, random, n);
                }
                return null;
              }));
    }
    for (Future<?> each : running) {
      each.get();
    }
    callers.shutdown();
  }

  private void one(Caller caller, SplittableRandom random, long number)
      throws InterruptedException {
    int bytes =
        random.nextInt(LARGE_ONE_IN) == 0
            ? random.nextInt(LARGE_BYTES)
            : random.nextInt(USUAL_BYTES);
    String chunked = random.nextDouble() < CHUNKED_SHARE ? "&chunked" : "";
    String path = "/lots?answerBytes=" + bytes + "&work=" + number + chunked;
    boolean hasty = random.nextDouble() < GIVEN_UP_SHARE;
    int port = bed.entries().get(random.nextInt(bed.entries().size())).callersPort();
    Reply reply =
        caller.send(
            port, "GET", "listings", path, new byte[0], "", DEADLINE, hasty ? HASTE : PATIENCE);
    count(reply, RequestChecksum.of("GET", path, new byte[0]), bytes);
  }

  private void count(Reply reply, long checksum, int bytes) {
    if (reply.isLost()) {
      (reply.result().equals("timeout") ? givenUp : cut).increment();
    } else if (!reply.ran()) {
      refused.increment();
    } else if (reply.isAnswerTo(checksum, bytes)) {
      whole.increment();
    } else if (reply.checksum() == checksum && reply.body().length < bytes) {
      shortAsSuccess.increment();
    } else {
      ofAnother.increment();
    }
  }

  void print() {
    System.out.println(
        "exchanges: whole "
            + whole
            + ", cut and seen as cut "
            + cut
            + ", given up by the caller "
            + givenUp
            + ", refused or unknown "
            + refused);
    System.out.println("answers of another request: " + ofAnother);
    System.out.println("short answers delivered as success: " + shortAsSuccess);
  }
}
