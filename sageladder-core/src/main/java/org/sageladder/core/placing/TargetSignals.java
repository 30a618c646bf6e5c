package org.sageladder.core.placing;

import org.jspecify.annotations.Nullable;

/**
 * What a target states about itself in an answer.
 *
 * @param load its load, or null if it reports none
 * @param rateLimit the request rate that it accepts
 * @param isDraining true if it accepts no new requests
 * @param backOffMillis time for which it wants no requests from this entry VM; 0 if it accepts them
 */
public record TargetSignals(
    @Nullable LoadReport load, RateLimitSignal rateLimit, boolean isDraining, long backOffMillis) {
  /** Returns the signals of an answer that states nothing. */
  public static TargetSignals none() {
    return new TargetSignals(null, new RateLimitSignal.Unlimited(), false, 0);
  }
}
