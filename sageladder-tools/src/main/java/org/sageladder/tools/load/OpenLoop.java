package org.sageladder.tools.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends arrivals at their times without waiting for answers.
 *
 * <p>Latency counts from the time an arrival was due. A loop that waits for an answer before it
 * sends the next request would send less to a slow system and miss the very waits that its callers
 * see (coordinated omission).
 */
final class OpenLoop {
  /** Callers that wait at the same time; more arrivals queue, and their wait counts as latency. */
  private static final int MOST_WAITING = 1_024;

  private static final long STACK_BYTES = 256 * 1024;

  private final List<Ending> endings = Collections.synchronizedList(new ArrayList<>());
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong latestStartNanos = new AtomicLong();

  /** Sends all and returns when each has ended; {@code startNanos} is the arrivals' time zero. */
  List<Ending> run(List<Arrival> arrivals, Sender sender, long startNanos)
      throws InterruptedException {
    ExecutorService pool =
        Executors.newFixedThreadPool(
            MOST_WAITING, task -> new Thread(null, task, "caller", STACK_BYTES));
    try {
      for (Arrival arrival : arrivals) {
        awaitNanos(startNanos + arrival.dueNanos());
        sent.incrementAndGet();
        pool.execute(() -> send(arrival, sender, startNanos));
      }
    } finally {
      pool.shutdown();
    }
    if (!pool.awaitTermination(10, TimeUnit.MINUTES)) {
      throw new IllegalStateException("requests were still open 10 minutes after the last was due");
    }
    return List.copyOf(endings);
  }

  long sent() {
    return sent.get();
  }

  int ended() {
    return endings.size();
  }

  /** Largest delay between an arrival's time and its start: how far the sender itself lagged. */
  long latestStartNanos() {
    return latestStartNanos.get();
  }

  private void send(Arrival arrival, Sender sender, long startNanos) {
    long due = startNanos + arrival.dueNanos();
    latestStartNanos.accumulateAndGet(System.nanoTime() - due, Math::max);
    Sender.Outcome outcome;
    try {
      outcome = sender.send(arrival);
    } catch (RuntimeException e) {
      outcome = new Sender.Outcome(Ending.What.UNKNOWN, "SENDER_FAULT " + e, "", 1);
    }
    endings.add(
        new Ending(
            arrival,
            System.nanoTime() - due,
            outcome.what(),
            outcome.code(),
            outcome.target(),
            outcome.tries()));
  }

  private static void awaitNanos(long until) throws InterruptedException {
    for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
      if (Thread.interrupted()) {
        throw new InterruptedException("the experiment was interrupted");
      }
      LockSupport.parkNanos(left);
    }
  }
}
