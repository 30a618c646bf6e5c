package org.sageladder.standin.target;

/**
 * Faults injected into a target; {@link #none} is a healthy target.
 *
 * @param loadLagMillis age of the load that {@code /load} reports
 * @param reportBusy number of busy slots that {@code /load} reports; negative for the actual one
 * @param loadSilent whether {@code /load} and {@code /health} are never answered
 * @param health what {@code /health} answers
 * @param shed whether every request is refused as {@code shedding}
 * @param slowFactor factor applied to service times, at least 0
 * @param truncateProbability fraction of answers truncated by closing the connection, 0 to 1
 * @param lateProbability fraction of answers that are delayed, 0 to 1
 * @param lateMillis delay of those answers
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

  /** The status of {@code /health}. */
  public enum Health {
    /** 200 if the target accepts new work, otherwise 503. */
    TRUE,
    /** Always 200. */
    ALWAYS_UP,
    /** Always 503. */
    ALWAYS_DOWN
  }

  /** Validates the ranges. */
  public TargetFaults {
    if (loadLagMillis < 0 || lateMillis < 0 || !(slowFactor >= 0)) {
      throw new IllegalArgumentException(
          "loadLagMillis, lateMillis and slowFactor: expected 0 or more");
    }
    if (!isProbability(truncateProbability) || !isProbability(lateProbability)) {
      throw new IllegalArgumentException(
          "truncateProbability and lateProbability: expected 0 to 1");
    }
  }

  private static boolean isProbability(double probability) {
    return probability >= 0 && probability <= 1;
  }

  /** Returns no faults. */
  public static TargetFaults none() {
    return new TargetFaults(0, -1, false, Health.TRUE, false, 1, 0, 0, 0);
  }

  /** Returns a copy with load reports of the given age. */
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

  /** Returns a copy whose load reports state {@code busySlots} busy slots. */
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

  /** Returns a copy in which {@code /load} and {@code /health} are answered or not. */
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

  /** Returns a copy with the given health status. */
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

  /** Returns a copy in which all work is shed or not. */
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

  /** Returns a copy with service times multiplied by {@code factor}. */
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

  /** Returns a copy with the given fraction of answers truncated. */
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

  /** Returns a copy with the given fraction of answers delayed by {@code millis}. */
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
