package org.sageladder.tools.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.sageladder.tools.load.RequestResult.Outcome;

class OpenLoopTest {
  // Guards against coordinated omission: a sender that waits for each answer sends nothing while
  // the system hangs, so only one request is slow and the 99th percentile looks good. Here the
  // first request does not complete before all others have been sent.
  @Test
  void sendsAllRequestsWhileTheFirstOneHangs() throws Exception {
    int count = 50;
    CountDownLatch othersSent = new CountDownLatch(count - 1);
    Sender sender =
        arrival -> {
          if (arrival.requestId().equals("k-0")) {
            awaitQuietly(othersSent);
          } else {
            othersSent.countDown();
          }
          return new Sender.SendResult(Outcome.WHOLE, "OK", "", 1);
        };

    List<RequestResult> results = new OpenLoop().run(arrivals(count), sender, System.nanoTime());

    assertEquals(count, results.size());
    assertEquals(0, othersSent.getCount());
  }

  @Test
  void latencyIsMeasuredFromTheDueTime() throws Exception {
    Sender sender = arrival -> new Sender.SendResult(Outcome.WHOLE, "OK", "", 1);
    long overdue = System.nanoTime() - Duration.ofSeconds(3).toNanos();

    List<RequestResult> results = new OpenLoop().run(arrivals(1), sender, overdue);

    assertTrue(results.get(0).latencyNanos() >= Duration.ofSeconds(3).toNanos());
  }

  @Test
  void throwingSenderStillYieldsAResultForEachRequest() throws Exception {
    Sender sender =
        arrival -> {
          throw new IllegalStateException("broken");
        };

    List<RequestResult> results = new OpenLoop().run(arrivals(2), sender, System.nanoTime());

    assertEquals(
        List.of(Outcome.UNKNOWN, Outcome.UNKNOWN),
        results.stream().map(RequestResult::outcome).toList());
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static List<Arrival> arrivals(int count) {
    List<Arrival> arrivals = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      arrivals.add(new Arrival(i * 1_000L, "k-" + i, "s", true, "r", 1, Duration.ofSeconds(1), 16));
    }
    return arrivals;
  }
}
