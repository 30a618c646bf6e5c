package org.sageladder.core.limits;

import java.util.concurrent.atomic.AtomicInteger;
import org.sageladder.core.contract.RequestClass;

/**
 * Limits the number of requests queued at all gates of one entry VM together, and sheds background
 * requests first and critical ones last.
 *
 * <p>Background requests may use half of the queue capacity, interactive requests four fifths and
 * critical requests all of it. Thread-safe.
 */
public final class QueueBudget {
  private static final double BACKGROUND_FRACTION = 0.5;
  private static final double INTERACTIVE_FRACTION = 0.8;

  private final int maxWaiting;
  private final AtomicInteger waiting = new AtomicInteger();

  private QueueBudget(int maxWaiting) {
    this.maxWaiting = maxWaiting;
  }

  /** Creates a budget of {@code maxWaiting} queued requests, at least 1. */
  public static QueueBudget of(int maxWaiting) {
    if (maxWaiting < 1) {
      throw new IllegalArgumentException(
          "maximum number of queued requests is " + maxWaiting + "; must be at least 1, e.g. 1000");
    }
    return new QueueBudget(maxWaiting);
  }

  /** Reserves room in a queue for one request of that class; false if its fraction is used up. */
  boolean tryAcquire(RequestClass requestClass) {
    int limit = maxWaitingOf(requestClass);
    int current = waiting.get();
    while (current < limit) {
      if (waiting.compareAndSet(current, current + 1)) {
        return true;
      }
      current = waiting.get();
    }
    return false;
  }

  void release() {
    waiting.decrementAndGet();
  }

  /** Requests queued at all gates. */
  public int waitingCount() {
    return waiting.get();
  }

  private int maxWaitingOf(RequestClass requestClass) {
    return switch (requestClass) {
      case CRITICAL -> maxWaiting;
      case INTERACTIVE -> (int) Math.max(1, maxWaiting * INTERACTIVE_FRACTION);
      case BACKGROUND -> (int) Math.max(1, maxWaiting * BACKGROUND_FRACTION);
    };
  }
}
