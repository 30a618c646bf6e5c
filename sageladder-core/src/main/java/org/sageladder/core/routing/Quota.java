package org.sageladder.core.routing;

/**
 * Rate limit of a workspace: a token bucket that all entry VMs share.
 *
 * @param ratePerSecond tokens added per second; 0 means no limit
 * @param burst maximum number of tokens in the bucket
 */
public record Quota(double ratePerSecond, double burst) {
  /** Rejects negative, infinite and NaN values. */
  public Quota {
    if (!isAmount(ratePerSecond) || !isAmount(burst)) {
      throw new IllegalArgumentException(
          "quota is "
              + ratePerSecond
              + " per second with burst "
              + burst
              + "; both must be finite and 0 or more");
    }
  }

  private static boolean isAmount(double number) {
    return number >= 0 && number < Double.POSITIVE_INFINITY;
  }

  /** No limit. */
  public static Quota unlimited() {
    return new Quota(0, 0);
  }

  /** True if requests are counted and limited. */
  public boolean isLimited() {
    return ratePerSecond > 0;
  }

  /** Size of the bucket: at least one token, or no request could ever run. */
  public double capacity() {
    return Math.max(1, burst);
  }
}
