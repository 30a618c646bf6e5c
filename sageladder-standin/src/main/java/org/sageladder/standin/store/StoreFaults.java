package org.sageladder.standin.store;

/**
 * Faults injected into the store; {@link #none} is a healthy store.
 *
 * @param slowMillis delay before each call takes effect
 * @param down whether every call is refused with status 503 and has no effect
 * @param hang whether every call stays unanswered and has no effect
 * @param loseAnswers number of next writes that take effect and whose connection is closed without
 *     an answer
 * @param loseRequests number of next writes that have no effect and whose connection is closed
 * @param loseProbability fraction of writes that take effect and get no answer, 0 to 1
 * @param seed seed of the random generator for {@code loseProbability}
 * @param vmListLagMillis delay after which the list of VMs shows a change
 */
public record StoreFaults(
    long slowMillis,
    boolean down,
    boolean hang,
    int loseAnswers,
    int loseRequests,
    double loseProbability,
    long seed,
    long vmListLagMillis) {

  /** Validates the ranges. */
  public StoreFaults {
    if (slowMillis < 0 || loseAnswers < 0 || loseRequests < 0 || vmListLagMillis < 0) {
      throw new IllegalArgumentException(
          "slowMillis, loseAnswers, loseRequests and vmListLagMillis: expected 0 or more");
    }
    if (!(loseProbability >= 0 && loseProbability <= 1)) {
      throw new IllegalArgumentException(
          "loseProbability " + loseProbability + ": expected 0 to 1");
    }
  }

  /** Returns no faults. */
  public static StoreFaults none() {
    return new StoreFaults(0, false, false, 0, 0, 0, 0, 0);
  }

  /** Returns a copy with every call delayed by {@code millis}. */
  public StoreFaults withSlowMillis(long millis) {
    return new StoreFaults(
        millis, down, hang, loseAnswers, loseRequests, loseProbability, seed, vmListLagMillis);
  }

  /** Returns a copy in which every call is refused or not. */
  public StoreFaults withDown(boolean isDown) {
    return new StoreFaults(
        slowMillis,
        isDown,
        hang,
        loseAnswers,
        loseRequests,
        loseProbability,
        seed,
        vmListLagMillis);
  }

  /** Returns a copy in which every call is left unanswered or not. */
  public StoreFaults withHang(boolean isHanging) {
    return new StoreFaults(
        slowMillis,
        down,
        isHanging,
        loseAnswers,
        loseRequests,
        loseProbability,
        seed,
        vmListLagMillis);
  }

  /** Returns a copy that loses the answers of the next {@code writes} writes. */
  public StoreFaults withLoseAnswers(int writes) {
    return new StoreFaults(
        slowMillis, down, hang, writes, loseRequests, loseProbability, seed, vmListLagMillis);
  }

  /** Returns a copy that loses the next {@code writes} writes before they take effect. */
  public StoreFaults withLoseRequests(int writes) {
    return new StoreFaults(
        slowMillis, down, hang, loseAnswers, writes, loseProbability, seed, vmListLagMillis);
  }

  /** Returns a copy that loses the answer of each write with {@code probability}. */
  public StoreFaults withLoseProbability(double probability, long drawSeed) {
    return new StoreFaults(
        slowMillis, down, hang, loseAnswers, loseRequests, probability, drawSeed, vmListLagMillis);
  }

  /** Returns a copy in which the list of VMs lags by {@code millis}. */
  public StoreFaults withVmListLagMillis(long millis) {
    return new StoreFaults(
        slowMillis, down, hang, loseAnswers, loseRequests, loseProbability, seed, millis);
  }
}
