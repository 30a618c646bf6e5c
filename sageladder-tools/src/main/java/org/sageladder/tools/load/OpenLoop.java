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
 * Open-loop load generator: starts each request when it is due, without waiting for earlier
 * answers.
 *
 * <p>Latency is measured from the time a request was due. A closed loop, which waits for an answer
 * before it sends the next request, would send less to a slow system and leave the waiting times of
 * its callers out of the measurement (coordinated omission).
 */
final class OpenLoop {
  /**
   * Maximum number of requests in flight; further requests queue, and their queueing time counts as
   * latency.
   */
  private static final int MAX_CONCURRENT_CALLERS = 1_024;

  private static final long CALLER_STACK_BYTES = 256 * 1024;

  private final List<RequestResult> results = Collections.synchronizedList(new ArrayList<>());
  private final AtomicLong sentCount = new AtomicLong();
  private final AtomicLong maxStartLagNanos = new AtomicLong();

  /**
   * Sends all requests and returns once every one has completed; due times are relative to {@code
   * startNanos}.
   */
  List<RequestResult> run(List<Arrival> arrivals, Sender sender, long startNanos)
      throws InterruptedException {
    ExecutorService pool =
        Executors.newFixedThreadPool(
            MAX_CONCURRENT_CALLERS, task -> new Thread(null, task, "caller", CALLER_STACK_BYTES));
    try {
      for (Arrival arrival : arrivals) {
        sleepUntil(startNanos + arrival.dueNanos());
        sentCount.incrementAndGet();
        pool.execute(() -> send(arrival, sender, startNanos));
      }
    } finally {
      pool.shutdown();
    }
    if (!pool.awaitTermination(10, TimeUnit.MINUTES)) {
      throw new IllegalStateException(
          "requests were still in flight 10 minutes after the last one was due");
    }
    return List.copyOf(results);
  }

  long sentCount() {
    return sentCount.get();
  }

  int completedCount() {
    return results.size();
  }

  /** Longest delay between the time a request was due and the time the generator started it. */
  long maxStartLagNanos() {
    return maxStartLagNanos.get();
  }

  private void send(Arrival arrival, Sender sender, long startNanos) {
    long dueNanos = startNanos + arrival.dueNanos();
    maxStartLagNanos.accumulateAndGet(System.nanoTime() - dueNanos, Math::max);
    Sender.SendResult sendResult;
    try {
      sendResult = sender.send(arrival);
    } catch (RuntimeException e) {
      sendResult = new Sender.SendResult(RequestResult.Outcome.UNKNOWN, "SENDER_FAULT " + e, "", 1);
    }
    results.add(
        new RequestResult(
            arrival,
            System.nanoTime() - dueNanos,
            sendResult.outcome(),
            sendResult.code(),
            sendResult.target(),
            sendResult.attempts()));
  }

  private static void sleepUntil(long untilNanos) throws InterruptedException {
    for (long remainingNanos = untilNanos - System.nanoTime();
        remainingNanos > 0;
        remainingNanos = untilNanos - System.nanoTime()) {
      if (Thread.interrupted()) {
        throw new InterruptedException("the experiment was interrupted");
      }
      LockSupport.parkNanos(remainingNanos);
    }
  }
}
