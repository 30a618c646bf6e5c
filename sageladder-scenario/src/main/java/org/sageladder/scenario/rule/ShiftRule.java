package org.sageladder.scenario.rule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.Arrival;

/** Checks that traffic from a region's callers shifts between regions only slowly. */
final class ShiftRule {
  /** Length of the windows that are compared, in milliseconds. */
  private static final long WINDOW_MILLIS = 2_000;

  /** Distance between the starts of consecutive windows, in milliseconds. */
  private static final long STEP_MILLIS = 100;

  private static final long STEPS_PER_WINDOW = WINDOW_MILLIS / STEP_MILLIS;

  /** Windows with fewer requests of a region are skipped: their shares vary by chance alone. */
  private static final int MIN_REQUESTS_PER_WINDOW = 300;

  /** Requests of one region's callers in one window, counted by the region in which they run. */
  private static final class Window {
    final Map<String, Integer> countByRegion = new HashMap<>();
    int total;

    void count(String region) {
      countByRegion.merge(region, 1, Integer::sum);
      total++;
    }

    void add(Window other) {
      other.countByRegion.forEach(
          (region, count) -> countByRegion.merge(region, count, Integer::sum));
      total += other.total;
    }

    double fractionIn(String region) {
      return (double) countByRegion.getOrDefault(region, 0) / total;
    }

    /** Fraction of the requests that moved to another region since {@code before}. */
    double shiftedFractionSince(Window before) {
      Set<String> regions = new HashSet<>(countByRegion.keySet());
      regions.addAll(before.countByRegion.keySet());
      return regions.stream()
          .mapToDouble(region -> Math.max(0, fractionIn(region) - before.fractionIn(region)))
          .sum();
    }
  }

  /** Fraction of a region's requests that moved to another region at {@code atMillis}. */
  private record Shift(long atMillis, double fraction) {}

  private ShiftRule() {}

  /** The largest shift between consecutive windows of each region, if it exceeds the limit. */
  static List<String> tooFast(SimulatedDay day) {
    long beginsMillis =
        day.ledger().attempts().values().stream()
            .mapToLong(Ledger.Attempt::sentAtMillis)
            .min()
            .orElse(0);
    List<String> violations = new ArrayList<>();
    stepsByRegion(day, beginsMillis)
        .forEach(
            (region, steps) -> {
              Shift largest = largestShift(day, beginsMillis, steps);
              if (largest.fraction() > day.bounds().maxShiftFraction()) {
                violations.add(describe(region, largest));
              }
            });
    return violations;
  }

  private static Shift largestShift(
      SimulatedDay day, long beginsMillis, NavigableMap<Long, Window> steps) {
    Shift largest = new Shift(0, 0);
    for (long step = 0; step <= steps.lastKey() - STEPS_PER_WINDOW; step++) {
      long atMillis = beginsMillis + (step + STEPS_PER_WINDOW) * STEP_MILLIS;
      Window before = windowFrom(steps, step);
      Window after = windowFrom(steps, step + STEPS_PER_WINDOW);
      boolean isLargeEnough = Math.min(before.total, after.total) >= MIN_REQUESTS_PER_WINDOW;
      if (isLargeEnough && day.isUndisturbed(atMillis - WINDOW_MILLIS, atMillis + WINDOW_MILLIS)) {
        Shift shift = new Shift(atMillis, after.shiftedFractionSince(before));
        largest = shift.fraction() > largest.fraction() ? shift : largest;
      }
    }
    return largest;
  }

  private static Window windowFrom(NavigableMap<Long, Window> steps, long first) {
    Window window = new Window();
    steps.subMap(first, first + STEPS_PER_WINDOW).values().forEach(window::add);
    return window;
  }

  private static String describe(String region, Shift shift) {
    return String.format(
        Locale.ROOT,
        "%.0f %% of the requests from %s moved to another region at %d ms",
        100 * shift.fraction(),
        region,
        shift.atMillis());
  }

  /**
   * Requests by region of the caller and by step, the number of {@link #STEP_MILLIS} between {@code
   * beginsMillis} and the time the request was sent.
   */
  private static Map<String, NavigableMap<Long, Window>> stepsByRegion(
      SimulatedDay day, long beginsMillis) {
    Map<String, String> runRegionById = new HashMap<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      if (arrival.fate() == Ledger.Fate.TAKEN) {
        runRegionById.put(arrival.id(), arrival.region());
      }
    }
    Map<String, NavigableMap<Long, Window>> byRegion = new TreeMap<>();
    for (Ledger.Attempt attempt : day.ledger().attempts().values()) {
      String region = runRegionById.get(attempt.id());
      if (region != null) {
        byRegion
            .computeIfAbsent(attempt.region(), name -> new TreeMap<>())
            .computeIfAbsent(
                (attempt.sentAtMillis() - beginsMillis) / STEP_MILLIS, number -> new Window())
            .count(region);
      }
    }
    return byRegion;
  }
}
