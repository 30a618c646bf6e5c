package org.sageladder.core.limits;

import java.util.concurrent.atomic.AtomicInteger;
import org.sageladder.core.contract.RequestClass;

/**
 * Bounds the requests that wait at all gates of one entry VM together, so that background work is
 * shed first and critical work last.
 *
 * <p>Background requests may fill half of the places, interactive ones four fifths, critical ones
 * all. Safe for use by several threads.
 */
public final class QueueBudget {
  private static final double BACKGROUND_FRACTION = 0.5;
  private static final double INTERACTIVE_FRACTION = 0.8;

  private final int maxWaiting;
  private final AtomicInteger waiting = new AtomicInteger();

  private QueueBudget(int most) {
    this.maxWaiting = most;
  }

  /** A budget of {@code most} waiting requests. */
  public static QueueBudget of(int most) {
    if (most < 1) {
      throw new IllegalArgumentException(
          "cannot bound waiting requests by " + most + ": use 1 or more, for instance 1000");
    }
    return new QueueBudget(most);
  }

  /** Takes one place for a request of that class; false where its class must not wait now. */
  boolean tryAcquire(RequestClass requestClass) {
    int limit = maxWaitingOf(requestClass);
    int now = waiting.get();
    while (now < limit) {
      if (waiting.compareAndSet(now, now + 1)) {
        return true;
      }
      now = waiting.get();
    }
    return false;
  }

  void release() {
    waiting.decrementAndGet();
  }

  /** Requests waiting at all gates. */
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
