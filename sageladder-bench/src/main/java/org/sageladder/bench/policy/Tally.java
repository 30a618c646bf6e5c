package org.sageladder.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts what was admitted where, and checks caps and slots the slow and plain way. */
final class Tally {
  private static final int STEPS = 10;

  private final Setup setup;
  private final Map<String, Map<Long, Integer>> perStep = new HashMap<>();
  private final Map<String, Integer> running = new HashMap<>();
  private final List<Integer> servedBySecond = new ArrayList<>();
  private long slotsBroken;
  private long offered;
  private long served;
  private long servedAbroad;

  Tally(Setup setup) {
    this.setup = setup;
  }

  void offered() {
    offered++;
  }

  void admitted(String target, String region, String home, long nowNanos) {
    served++;
    servedAbroad += region.equals(home) ? 0 : 1;
    int second = (int) (nowNanos / 1_000_000_000L);
    while (servedBySecond.size() <= second) {
      servedBySecond.add(0);
    }
    servedBySecond.set(second, servedBySecond.get(second) + 1);
    count("target " + target, nowNanos);
    count("region " + region, nowNanos);
    if (running.merge(target, 1, Integer::sum) > setup.slots()) {
      slotsBroken++;
    }
  }

  void answered(String target) {
    running.merge(target, -1, Integer::sum);
  }

  private void count(String place, long nowNanos) {
    perStep.computeIfAbsent(place, name -> new HashMap<>()).merge(step(nowNanos), 1, Integer::sum);
  }

  private long step(long nowNanos) {
    return nowNanos / (setup.windowSeconds() * 1_000_000_000L / STEPS);
  }

  /** True where one more request at {@code place} now breaks its cap neither now nor later. */
  boolean mayGrow(String place, int gain, long nowNanos) {
    Map<Long, Integer> counts = perStep.getOrDefault(place, Map.of());
    long now = step(nowNanos);
    for (long end = now; end < now + STEPS; end++) {
      if (window(counts, end) + 1 > window(counts, end - STEPS) + gain) {
        return false;
      }
    }
    return true;
  }

  private static int window(Map<Long, Integer> counts, long end) {
    int sum = 0;
    for (int back = 0; back < STEPS; back++) {
      sum += counts.getOrDefault(end - back, 0);
    }
    return sum;
  }

  /** Windows of any place that outgrew the window before by more than its gain. */
  int capsBroken(long endNanos) {
    int broken = 0;
    for (Map.Entry<String, Map<Long, Integer>> place : perStep.entrySet()) {
      boolean isRegion = place.getKey().startsWith("region");
      int gain = isRegion ? setup.regionGain() : setup.targetGain();
      for (long end = 0; end <= step(endNanos) + STEPS; end++) {
        int window = window(place.getValue(), end);
        broken += window > window(place.getValue(), end - STEPS) + gain ? 1 : 0;
      }
    }
    return broken;
  }

  /** Windows in which a region took in more than its slots can carry. */
  int regionsOverCapacity(long endNanos) {
    int over = 0;
    double most = setup.regionCapacity() * setup.windowSeconds();
    for (Map.Entry<String, Map<Long, Integer>> place : perStep.entrySet()) {
      for (long end = 0; place.getKey().startsWith("region") && end <= step(endNanos); end++) {
        over += window(place.getValue(), end) > 1.1 * most ? 1 : 0;
      }
    }
    return over;
  }

  long slotsBroken() {
    return slotsBroken;
  }

  long offeredTotal() {
    return offered;
  }

  long servedTotal() {
    return served;
  }

  long servedAbroadTotal() {
    return servedAbroad;
  }

  int servedInSecond(int second) {
    return second < servedBySecond.size() ? servedBySecond.get(second) : 0;
  }
}
