package org.sageladder.client;

import java.time.Duration;
import java.util.List;

/**
 * How a {@link SageladderClient} finds entry VMs and how hard it tries.
 *
 * @param seeds addresses of entry VMs to ask first, {@code IP:PORT}, at least one
 * @param connectTimeout longest wait for a connection
 * @param attemptTimeoutFraction share of the time left that one try may use before the next entry
 *     VM is asked, above 0 and at most 1
 * @param maxAttempts most times one request is sent
 * @param retryFraction tries beyond the first, over all requests, as a fraction of first tries
 * @param maxConnectionsPerEntry most connections to one entry VM
 * @param maxBodyBytes largest answer kept in memory; larger ones need a sink
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

  /** Copies the list and rejects values out of range. */
  public ClientOptions {
    seeds = List.copyOf(seeds);
    if (seeds.isEmpty()) {
      throw new IllegalArgumentException("no seeds: expected the IP:PORT of one entry VM or more");
    }
    seeds.forEach(EntryAddress::parse);
    if (!(attemptTimeoutFraction > 0 && attemptTimeoutFraction <= 1)) {
      throw new IllegalArgumentException(
          "tryShare " + attemptTimeoutFraction + ": expected above 0, at most 1");
    }
    if (maxAttempts < 1 || maxConnectionsPerEntry < 1 || !(retryFraction >= 0)) {
      throw new IllegalArgumentException(
          "expected at least one try, one connection and no negative retry fraction");
    }
  }

  /** One second to connect, half of the time left per try, four tries, a fifth of retries. */
  public static ClientOptions seeds(List<String> addresses) {
    return new ClientOptions(
        addresses, Duration.ofSeconds(1), 0.5, 4, 0.2, 64, DEFAULT_MAX_BODY_BYTES);
  }

  /** The same options with that share of the time left for one try. */
  public ClientOptions attemptTimeoutFraction(double share) {
    return new ClientOptions(
        seeds,
        connectTimeout,
        share,
        maxAttempts,
        retryFraction,
        maxConnectionsPerEntry,
        maxBodyBytes);
  }

  /** The same options with that many tries at most. */
  public ClientOptions maxAttempts(int tries) {
    return new ClientOptions(
        seeds,
        connectTimeout,
        attemptTimeoutFraction,
        tries,
        retryFraction,
        maxConnectionsPerEntry,
        maxBodyBytes);
  }

  /** The same options with that budget of retries. */
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

  /** The same options with that many connections to one entry VM at most. */
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

  /** The same options with that limit on answers in memory. */
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
