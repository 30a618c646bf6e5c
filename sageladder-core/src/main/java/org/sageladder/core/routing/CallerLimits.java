package org.sageladder.core.routing;

/**
 * What callers may send, and how long they may take or stay idle.
 *
 * @param maxHeadBytes largest head of a request
 * @param maxBodyBytes largest body of a request
 * @param headTimeoutMillis longest time from the first byte of a head to its last
 * @param idleTimeoutMillis longest time a connection may stay open without a request
 */
public record CallerLimits(
    int maxHeadBytes, long maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {
  /** Limits until a configuration is known: 16 KiB, 64 MiB, 3 s, 15 s, as operators set today. */
  public static CallerLimits standard() {
    return new CallerLimits(16_384, 64L << 20, 3_000, 15_000);
  }
}
