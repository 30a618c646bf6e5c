package org.sageladder.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Records every admission and checks shift caps and slot limits by recounting all of them. */
final class AdmissionLog {
  private static final int STEPS_PER_WINDOW = 10;

  private final Setup setup;
  private final Map<String, Map<Long, Integer>> countsByScope = new HashMap<>();
  private final Map<String, Integer> inFlightByTarget = new HashMap<>();
  private final List<Integer> servedBySecond = new ArrayList<>();
  private long slotViolationCount;
  private long offeredCount;
  private long servedCount;
  private long servedRemoteCount;

  AdmissionLog(Setup setup) {
    this.setup = setup;
  }

  void recordOffered() {
    offeredCount++;
  }

  void recordAdmitted(String target, String region, String callerRegion, long nowNanos) {
    servedCount++;
    servedRemoteCount += region.equals(callerRegion) ? 0 : 1;
    int second = (int) (nowNanos / 1_000_000_000L);
    while (servedBySecond.size() <= second) {
      servedBySecond.add(0);
    }
    servedBySecond.set(second, servedBySecond.get(second) + 1);
    countAdmission("target " + target, nowNanos);
    countAdmission("region " + region, nowNanos);
    if (inFlightByTarget.merge(target, 1, Integer::sum) > setup.slotsPerTarget()) {
      slotViolationCount++;
    }
  }

  void recordAnswered(String target) {
    inFlightByTarget.merge(target, -1, Integer::sum);
  }

  private void countAdmission(String scope, long nowNanos) {
    countsByScope
        .computeIfAbsent(scope, name -> new HashMap<>())
        .merge(stepAt(nowNanos), 1, Integer::sum);
  }

  private long stepAt(long nowNanos) {
    return nowNanos / (setup.windowSeconds() * 1_000_000_000L / STEPS_PER_WINDOW);
  }

  /**
   * True if one more request in {@code scope} now exceeds its cap in no window that contains it.
   */
  boolean allowsOneMore(String scope, int maxGain, long nowNanos) {
    Map<Long, Integer> counts = countsByScope.getOrDefault(scope, Map.of());
    long currentStep = stepAt(nowNanos);
    for (long endStep = currentStep; endStep < currentStep + STEPS_PER_WINDOW; endStep++) {
      if (windowCount(counts, endStep) + 1
          > windowCount(counts, endStep - STEPS_PER_WINDOW) + maxGain) {
        return false;
      }
    }
    return true;
  }

  private static int windowCount(Map<Long, Integer> counts, long endStep) {
    int count = 0;
    for (int offset = 0; offset < STEPS_PER_WINDOW; offset++) {
      count += counts.getOrDefault(endStep - offset, 0);
    }
    return count;
  }

  /**
   * Windows of any target or region that exceed the preceding window by more than the allowed gain.
   */
  int capViolationCount(long endNanos) {
    int violations = 0;
    for (Map.Entry<String, Map<Long, Integer>> scope : countsByScope.entrySet()) {
      boolean isRegion = scope.getKey().startsWith("region");
      int maxGain = isRegion ? setup.regionGainRequests() : setup.targetGainRequests();
      for (long endStep = 0; endStep <= stepAt(endNanos) + STEPS_PER_WINDOW; endStep++) {
        int count = windowCount(scope.getValue(), endStep);
        violations +=
            count > windowCount(scope.getValue(), endStep - STEPS_PER_WINDOW) + maxGain ? 1 : 0;
      }
    }
    return violations;
  }

  /** Windows in which a region admitted over 110 % of the requests that its slots can process. */
  int overCapacityWindowCount(long endNanos) {
    int overCapacity = 0;
    double capacityPerWindow = setup.regionCapacityPerSecond() * setup.windowSeconds();
    for (Map.Entry<String, Map<Long, Integer>> scope : countsByScope.entrySet()) {
      for (long endStep = 0;
          scope.getKey().startsWith("region") && endStep <= stepAt(endNanos);
          endStep++) {
        overCapacity += windowCount(scope.getValue(), endStep) > 1.1 * capacityPerWindow ? 1 : 0;
      }
    }
    return overCapacity;
  }

  long slotViolationCount() {
    return slotViolationCount;
  }

  long offeredCount() {
    return offeredCount;
  }

  long servedCount() {
    return servedCount;
  }

  long servedRemoteCount() {
    return servedRemoteCount;
  }

  int servedInSecond(int second) {
    return second < servedBySecond.size() ? servedBySecond.get(second) : 0;
  }
}
