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
public final class WaitBudget {
  private static final double BACKGROUND_PART = 0.5;
  private static final double INTERACTIVE_PART = 0.8;

  private final int most;
  private final AtomicInteger waiting = new AtomicInteger();

  private WaitBudget(int most) {
    this.most = most;
  }

  /** A budget of {@code most} waiting requests. */
  public static WaitBudget of(int most) {
    if (most < 1) {
      throw new IllegalArgumentException(
          "cannot bound waiting requests by " + most + ": use 1 or more, for instance 1000");
    }
    return new WaitBudget(most);
  }

  /** Takes one place for a request of that class; false where its class must not wait now. */
  boolean take(RequestClass requestClass) {
    int limit = limit(requestClass);
    int now = waiting.get();
    while (now < limit) {
      if (waiting.compareAndSet(now, now + 1)) {
        return true;
      }
      now = waiting.get();
    }
    return false;
  }

  void giveBack() {
    waiting.decrementAndGet();
  }

  /** Requests waiting at all gates. */
  public int waiting() {
    return waiting.get();
  }

  private int limit(RequestClass requestClass) {
    return switch (requestClass) {
      case CRITICAL -> most;
      case INTERACTIVE -> (int) Math.max(1, most * INTERACTIVE_PART);
      case BACKGROUND -> (int) Math.max(1, most * BACKGROUND_PART);
    };
  }
}
