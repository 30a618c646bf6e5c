package org.sageladder.core.routing;

/**
 * Limits on the size and duration of callers' requests and on idle connections.
 *
 * @param maxHeadBytes maximum size of a request head
 * @param maxBodyBytes maximum size of a request body
 * @param headTimeoutMillis maximum time from the first byte of a request head to its last
 * @param idleTimeoutMillis maximum time that a connection may stay open without a request
 */
public record CallerLimits(
    int maxHeadBytes, long maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {
  /**
   * The limits before a configuration is known: 16 KiB, 64 MiB, 3 s and 15 s, as operators set
   * today.
   */
  public static CallerLimits standard() {
    return new CallerLimits(16_384, 64L << 20, 3_000, 15_000);
  }
}
