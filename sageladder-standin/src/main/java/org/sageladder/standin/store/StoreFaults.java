package org.sageladder.standin.store;

/**
 * What is wrong with the store; all zero is a healthy one.
 *
 * @param slowMillis delay before each call takes effect
 * @param down true: every call is refused with status 503 and has no effect
 * @param hang true: no call is answered and none has an effect
 * @param loseAnswers next so many writes take effect and their connection is cut without an answer
 * @param loseRequests next so many writes have no effect and their connection is cut
 * @param loseProbability share of writes that take effect and get no answer, 0 to 1
 * @param seed seed of the draw for {@code loseProbability}
 * @param vmListLagMillis how long after a change the list of VMs shows it
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

  /** Rejects values out of range. */
  public StoreFaults {
    if (slowMillis < 0 || loseAnswers < 0 || loseRequests < 0 || vmListLagMillis < 0) {
      throw new IllegalArgumentException("a fault is negative; expected 0 or more");
    }
    if (!(loseProbability >= 0 && loseProbability <= 1)) {
      throw new IllegalArgumentException(
          "loseProbability " + loseProbability + ": expected 0 to 1");
    }
  }

  /** A healthy store. */
  public static StoreFaults none() {
    return new StoreFaults(0, false, false, 0, 0, 0, 0, 0);
  }

  /** The same faults with every call delayed. */
  public StoreFaults withSlowMillis(long millis) {
    return new StoreFaults(
        millis, down, hang, loseAnswers, loseRequests, loseProbability, seed, vmListLagMillis);
  }

  /** The same faults with every call refused, or not. */
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

  /** The same faults with every call left unanswered, or not. */
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

  /** The same faults with the answers of the next {@code writes} writes lost. */
  public StoreFaults withLoseAnswers(int writes) {
    return new StoreFaults(
        slowMillis, down, hang, writes, loseRequests, loseProbability, seed, vmListLagMillis);
  }

  /** The same faults with the next {@code writes} writes lost before they take effect. */
  public StoreFaults withLoseRequests(int writes) {
    return new StoreFaults(
        slowMillis, down, hang, loseAnswers, writes, loseProbability, seed, vmListLagMillis);
  }

  /** The same faults with each write's answer lost with {@code probability}. */
  public StoreFaults withLoseProbability(double probability, long drawSeed) {
    return new StoreFaults(
        slowMillis, down, hang, loseAnswers, loseRequests, probability, drawSeed, vmListLagMillis);
  }

  /** The same faults with a list of VMs that lags. */
  public StoreFaults withVmListLagMillis(long millis) {
    return new StoreFaults(
        slowMillis, down, hang, loseAnswers, loseRequests, loseProbability, seed, millis);
  }
}
