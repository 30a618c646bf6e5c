package org.sageladder.client;

import java.time.Duration;
import java.util.List;

/**
 * Configures how a {@link SageladderClient} finds entry VMs, times out attempts and retries.
 *
 * @param seeds addresses of the entry VMs to look up routes at, as {@code IP:PORT}; at least one
 * @param connectTimeout maximum time to open a connection
 * @param attemptTimeoutFraction fraction of the remaining time after which one attempt times out
 *     and the next entry VM is tried; above 0 and at most 1
 * @param maxAttempts maximum number of attempts per request, not counting those that reached no
 *     entry VM or only query the outcome of a permit
 * @param retryFraction retries allowed over all requests, as a fraction of the first attempts
 * @param maxConnectionsPerEntry maximum number of connections to one entry VM
 * @param maxBodyBytes maximum size of a response body held in memory; larger ones need a sink
 */
public record ClientOptions(
    List<String> seeds,
    Duration connectTimeout,
    double attemptTimeoutFraction,
    int maxAttempts,
    double retryFraction,
    int maxConnectionsPerEntry,
    long maxBodyBytes) {
  private static final long DEFAULT_MAX_BODY_BYTES = 64L << 20;

  /** Copies the list and rejects values that are out of range. */
  public ClientOptions {
    seeds = List.copyOf(seeds);
    if (seeds.isEmpty()) {
      throw new IllegalArgumentException("no seeds: expected the IP:PORT of one entry VM or more");
    }
    seeds.forEach(EntryAddress::parse);
    if (!(attemptTimeoutFraction > 0 && attemptTimeoutFraction <= 1)) {
      throw new IllegalArgumentException(
          "attemptTimeoutFraction " + attemptTimeoutFraction + ": expected above 0, at most 1");
    }
    if (maxAttempts < 1 || maxConnectionsPerEntry < 1 || !(retryFraction >= 0)) {
      throw new IllegalArgumentException(
          "expected at least one attempt, one connection and a retry fraction of 0 or more");
    }
  }

  /**
   * Defaults: one second to connect, half of the remaining time per attempt, four attempts, retries
   * of a fifth of the first attempts, 64 connections per entry VM, bodies of up to 64 MiB.
   */
  public static ClientOptions seeds(List<String> addresses) {
    return new ClientOptions(
        addresses, Duration.ofSeconds(1), 0.5, 4, 0.2, 64, DEFAULT_MAX_BODY_BYTES);
  }

  /** Returns a copy with another fraction of the remaining time for each attempt. */
  public ClientOptions attemptTimeoutFraction(double fraction) {
    return new ClientOptions(
        seeds,
        connectTimeout,
        fraction,
        maxAttempts,
        retryFraction,
        maxConnectionsPerEntry,
        maxBodyBytes);
  }

  /** Returns a copy with another maximum number of attempts. */
  public ClientOptions maxAttempts(int attempts) {
    return new ClientOptions(
        seeds,
        connectTimeout,
        attemptTimeoutFraction,
        attempts,
        retryFraction,
        maxConnectionsPerEntry,
        maxBodyBytes);
  }

  /** Returns a copy with another retry budget. */
  public ClientOptions retryFraction(double fraction) {
    return new ClientOptions(
        seeds,
        connectTimeout,
        attemptTimeoutFraction,
        maxAttempts,
        fraction,
        maxConnectionsPerEntry,
        maxBodyBytes);
  }

  /** Returns a copy with another maximum number of connections to one entry VM. */
  public ClientOptions maxConnectionsPerEntry(int connections) {
    return new ClientOptions(
        seeds,
        connectTimeout,
        attemptTimeoutFraction,
        maxAttempts,
        retryFraction,
        connections,
        maxBodyBytes);
  }

  /** Returns a copy with another limit on response bodies held in memory. */
  public ClientOptions maxBodyBytes(long bytes) {
    return new ClientOptions(
        seeds,
        connectTimeout,
        attemptTimeoutFraction,
        maxAttempts,
        retryFraction,
        maxConnectionsPerEntry,
        bytes);
  }
}
