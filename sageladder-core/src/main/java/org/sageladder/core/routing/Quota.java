package org.sageladder.core.routing;

/**
 * How many requests a workspace may have run: a token bucket over all entry VMs together.
 *
 * @param ratePerSecond tokens added each second; 0 means no limit
 * @param burst most tokens that are kept
 */
public record Quota(double ratePerSecond, double burst) {
  /** Refuses numbers that bound nothing. */
  public Quota {
    if (!isAmount(ratePerSecond) || !isAmount(burst)) {
      throw new IllegalArgumentException(
          "quota is "
              + ratePerSecond
              + " a second with burst "
              + burst
              + "; accepted is 0 or more");
    }
  }

  private static boolean isAmount(double number) {
    return number >= 0 && number < Double.POSITIVE_INFINITY;
  }

  /** No limit. */
  public static Quota unlimited() {
    return new Quota(0, 0);
  }

  /** True where requests are counted. */
  public boolean isLimited() {
    return ratePerSecond > 0;
  }

  /** Most tokens in the bucket: one at least, or no request would ever run. */
  public double capacity() {
    return Math.max(1, burst);
  }
}
