package org.sageladder.core.placing;

import java.util.Map;

/**
 * The request rates that targets accept, as they state them in their answers.
 *
 * <p>A limit belongs to one incarnation of a target and is in force until an answer states another
 * one or none.
 */
public final class TargetRateLimiter {
  /** The effect of a signal on the limit in force. */
  public enum Change {
    /** The limit in force is unchanged. */
    NONE,
    /** A limit is in force that was not before, or one with another value. */
    LIMITED,
    /** The limit is no longer in force. */
    WITHDRAWN,
    /** The signal cannot be read and was ignored. */
    MALFORMED
  }

  /**
   * Incarnations whose limits are kept. A limit outlives the target's registration, which may lapse
   * and come back while the target goes on serving.
   */
  private static final int MAX_TARGETS = 10_000;

  private final Map<TargetIncarnation, Double> limits = new BoundedMap<>(MAX_TARGETS);

  private TargetRateLimiter() {}

  /** Creates a limiter without limits. */
  public static TargetRateLimiter create() {
    return new TargetRateLimiter();
  }

  /** Applies what an answer of the target states. */
  public Change recordSignal(TargetIncarnation target, RateLimitSignal signal) {
    if (signal instanceof RateLimitSignal.Malformed) {
      return Change.MALFORMED;
    }
    if (signal instanceof RateLimitSignal.Limited limited) {
      Double previous = limits.put(target, limited.requestsPerSecond());
      boolean isSame = previous != null && previous == limited.requestsPerSecond();
      return isSame ? Change.NONE : Change.LIMITED;
    }
    return limits.remove(target) == null ? Change.NONE : Change.WITHDRAWN;
  }
}
