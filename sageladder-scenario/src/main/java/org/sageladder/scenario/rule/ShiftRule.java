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

/** The requests of a region's callers change the region in which they run only slowly. */
final class ShiftRule {
  /** Length of the spans that are compared, in milliseconds. */
  private static final long WINDOW_MILLIS = 2_000;

  /** Spans begin this far apart, in milliseconds. */
  private static final long STEP_MILLIS = 100;

  private static final long STEPS_PER_WINDOW = WINDOW_MILLIS / STEP_MILLIS;

  /** Fewest requests of a region in a span: with fewer, a share changes by chance alone. */
  private static final int MIN_REQUESTS_PER_WINDOW = 300;

  /** Requests of one region's callers in one span, by the region in which they run. */
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

    /** Part of the requests that run elsewhere than {@code before}. */
    double shiftedFractionSince(Window before) {
      Set<String> regions = new HashSet<>(countByRegion.keySet());
      regions.addAll(before.countByRegion.keySet());
      return regions.stream()
          .mapToDouble(region -> Math.max(0, fractionIn(region) - before.fractionIn(region)))
          .sum();
    }
  }

  /** Part of a region's requests that run elsewhere after {@code at} than before it. */
  private record Shift(long atMillis, double fraction) {}

  private ShiftRule() {}

  /** The worst shift of each region that is too fast, between any two spans in a row. */
  static List<String> tooFast(SimulatedDay day) {
    long begins =
        day.ledger().attempts().values().stream()
            .mapToLong(Ledger.Attempt::sentAtMillis)
            .min()
            .orElse(0);
    List<String> broken = new ArrayList<>();
    stepsByRegion(day, begins)
        .forEach(
            (region, steps) -> {
              Shift worst = largestShift(day, begins, steps);
              if (worst.fraction() > day.bounds().maxShiftFraction()) {
                broken.add(describe(region, worst));
              }
            });
    return broken;
  }

  private static Shift largestShift(
      SimulatedDay day, long begins, NavigableMap<Long, Window> steps) {
    Shift worst = new Shift(0, 0);
    for (long step = 0; step <= steps.lastKey() - STEPS_PER_WINDOW; step++) {
      long at = begins + (step + STEPS_PER_WINDOW) * STEP_MILLIS;
      Window before = windowFrom(steps, step);
      Window after = windowFrom(steps, step + STEPS_PER_WINDOW);
      boolean counts = Math.min(before.total, after.total) >= MIN_REQUESTS_PER_WINDOW;
      if (counts && day.isUndisturbed(at - WINDOW_MILLIS, at + WINDOW_MILLIS)) {
        Shift change = new Shift(at, after.shiftedFractionSince(before));
        worst = change.fraction() > worst.fraction() ? change : worst;
      }
    }
    return worst;
  }

  private static Window windowFrom(NavigableMap<Long, Window> steps, long first) {
    Window whole = new Window();
    steps.subMap(first, first + STEPS_PER_WINDOW).values().forEach(whole::add);
    return whole;
  }

  private static String describe(String region, Shift change) {
    return String.format(
        Locale.ROOT,
        "%.0f in 100 of the requests from %s changed their region at %d ms",
        100 * change.fraction(),
        region,
        change.atMillis());
  }

  /** By region of the callers and number of the step since {@code begins}, by when it was sent. */
  private static Map<String, NavigableMap<Long, Window>> stepsByRegion(
      SimulatedDay day, long begins) {
    Map<String, String> ranIn = new HashMap<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      if (arrival.fate() == Ledger.Fate.TAKEN) {
        ranIn.put(arrival.id(), arrival.region());
      }
    }
    Map<String, NavigableMap<Long, Window>> byRegion = new TreeMap<>();
    for (Ledger.Attempt asked : day.ledger().attempts().values()) {
      String region = ranIn.get(asked.id());
      if (region != null) {
        byRegion
            .computeIfAbsent(asked.region(), name -> new TreeMap<>())
            .computeIfAbsent((asked.sentAtMillis() - begins) / STEP_MILLIS, number -> new Window())
            .count(region);
      }
    }
    return byRegion;
  }
}
