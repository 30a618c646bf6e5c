package org.sageladder.standin.target;

/**
 * What is wrong with a target; {@link #none} is a healthy one.
 *
 * @param loadLagMillis age of what {@code /load} reports
 * @param reportBusy busy slots that {@code /load} claims; negative: the truth
 * @param loadSilent true: {@code /load} and {@code /health} are never answered
 * @param health what {@code /health} says
 * @param shed true: every request is refused as {@code shedding}
 * @param slowFactor service time over the usual one, at least 0
 * @param truncateProbability share of answers whose connection is cut midway, 0 to 1
 * @param lateProbability share of answers that come late, 0 to 1
 * @param lateMillis how late those come
 */
public record TargetFaults(
    long loadLagMillis,
    int reportBusy,
    boolean loadSilent,
    Health health,
    boolean shed,
    double slowFactor,
    double truncateProbability,
    double lateProbability,
    long lateMillis) {

  /** What {@code /health} says. */
  public enum Health {
    /** 200 where the target takes new work, else 503. */
    TRUE,
    /** Always 200. */
    ALWAYS_UP,
    /** Always 503. */
    ALWAYS_DOWN
  }

  /** Rejects values out of range. */
  public TargetFaults {
    if (loadLagMillis < 0 || lateMillis < 0 || !(slowFactor >= 0)) {
      throw new IllegalArgumentException("a lag or factor is negative; expected 0 or more");
    }
    if (!isProbability(truncateProbability) || !isProbability(lateProbability)) {
      throw new IllegalArgumentException("a probability is out of range; expected 0 to 1");
    }
  }

  private static boolean isProbability(double probability) {
    return probability >= 0 && probability <= 1;
  }

  /** A healthy target. */
  public static TargetFaults none() {
    return new TargetFaults(0, -1, false, Health.TRUE, false, 1, 0, 0, 0);
  }

  /** The same faults with load reports of that age. */
  public TargetFaults withLoadLagMillis(long millis) {
    return new TargetFaults(
        millis,
        reportBusy,
        loadSilent,
        health,
        shed,
        slowFactor,
        truncateProbability,
        lateProbability,
        lateMillis);
  }

  /** The same faults with a load report that always claims {@code busy} slots. */
  public TargetFaults withReportBusy(int busySlots) {
    return new TargetFaults(
        loadLagMillis,
        busySlots,
        loadSilent,
        health,
        shed,
        slowFactor,
        truncateProbability,
        lateProbability,
        lateMillis);
  }

  /** The same faults with load and health answered or not. */
  public TargetFaults withLoadSilent(boolean isSilent) {
    return new TargetFaults(
        loadLagMillis,
        reportBusy,
        isSilent,
        health,
        shed,
        slowFactor,
        truncateProbability,
        lateProbability,
        lateMillis);
  }

  /** The same faults with that health. */
  public TargetFaults withHealth(Health reported) {
    return new TargetFaults(
        loadLagMillis,
        reportBusy,
        loadSilent,
        reported,
        shed,
        slowFactor,
        truncateProbability,
        lateProbability,
        lateMillis);
  }

  /** The same faults with all work shed, or not. */
  public TargetFaults withShed(boolean shedsAll) {
    return new TargetFaults(
        loadLagMillis,
        reportBusy,
        loadSilent,
        health,
        shedsAll,
        slowFactor,
        truncateProbability,
        lateProbability,
        lateMillis);
  }

  /** The same faults with service times multiplied by {@code factor}. */
  public TargetFaults withSlowFactor(double factor) {
    return new TargetFaults(
        loadLagMillis,
        reportBusy,
        loadSilent,
        health,
        shed,
        factor,
        truncateProbability,
        lateProbability,
        lateMillis);
  }

  /** The same faults with a share of answers cut midway. */
  public TargetFaults withTruncateProbability(double probability) {
    return new TargetFaults(
        loadLagMillis,
        reportBusy,
        loadSilent,
        health,
        shed,
        slowFactor,
        probability,
        lateProbability,
        lateMillis);
  }

  /** The same faults with a share of answers late by {@code millis}. */
  public TargetFaults withLateAnswers(double probability, long millis) {
    return new TargetFaults(
        loadLagMillis,
        reportBusy,
        loadSilent,
        health,
        shed,
        slowFactor,
        truncateProbability,
        probability,
        millis);
  }
}
