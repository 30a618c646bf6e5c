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
import org.sageladder.scenario.Day;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.Arrival;

/** The requests of a region's callers change the region in which they run only slowly. */
final class Shifts {
  /** Length of the spans that are compared, in milliseconds. */
  private static final long SPAN_MILLIS = 2_000;

  /** Spans begin this far apart, in milliseconds. */
  private static final long STEP_MILLIS = 100;

  private static final long STEPS_A_SPAN = SPAN_MILLIS / STEP_MILLIS;

  /** Fewest requests of a region in a span: with fewer, a share changes by chance alone. */
  private static final int FEWEST = 300;

  /** Requests of one region's callers in one span, by the region in which they run. */
  private static final class Span {
    final Map<String, Integer> runs = new HashMap<>();
    int all;

    void count(String region) {
      runs.merge(region, 1, Integer::sum);
      all++;
    }

    void add(Span other) {
      other.runs.forEach((region, count) -> runs.merge(region, count, Integer::sum));
      all += other.all;
    }

    double share(String region) {
      return (double) runs.getOrDefault(region, 0) / all;
    }

    /** Part of the requests that run elsewhere than {@code before}. */
    double changedSince(Span before) {
      Set<String> regions = new HashSet<>(runs.keySet());
      regions.addAll(before.runs.keySet());
      return regions.stream()
          .mapToDouble(region -> Math.max(0, share(region) - before.share(region)))
          .sum();
    }
  }

  /** Part of a region's requests that run elsewhere after {@code at} than before it. */
  private record Change(long at, double part) {}

  private Shifts() {}

  /** The worst shift of each region that is too fast, between any two spans in a row. */
  static List<String> tooFast(Day day) {
    long begins =
        day.ledger().attempts().values().stream()
            .mapToLong(Ledger.Attempt::sentAtMillis)
            .min()
            .orElse(0);
    List<String> broken = new ArrayList<>();
    steps(day, begins)
        .forEach(
            (region, steps) -> {
              Change worst = worst(day, begins, steps);
              if (worst.part() > day.bounds().maxShiftFraction()) {
                broken.add(line(region, worst));
              }
            });
    return broken;
  }

  private static Change worst(Day day, long begins, NavigableMap<Long, Span> steps) {
    Change worst = new Change(0, 0);
    for (long step = 0; step <= steps.lastKey() - STEPS_A_SPAN; step++) {
      long at = begins + (step + STEPS_A_SPAN) * STEP_MILLIS;
      Span before = span(steps, step);
      Span after = span(steps, step + STEPS_A_SPAN);
      boolean counts = Math.min(before.all, after.all) >= FEWEST;
      if (counts && day.calm(at - SPAN_MILLIS, at + SPAN_MILLIS)) {
        Change change = new Change(at, after.changedSince(before));
        worst = change.part() > worst.part() ? change : worst;
      }
    }
    return worst;
  }

  private static Span span(NavigableMap<Long, Span> steps, long first) {
    Span whole = new Span();
    steps.subMap(first, first + STEPS_A_SPAN).values().forEach(whole::add);
    return whole;
  }

  private static String line(String region, Change change) {
    return String.format(
        Locale.ROOT,
        "%.0f in 100 of the requests from %s changed their region at %d ms",
        100 * change.part(),
        region,
        change.at());
  }

  /** By region of the callers and number of the step since {@code begins}, by when it was sent. */
  private static Map<String, NavigableMap<Long, Span>> steps(Day day, long begins) {
    Map<String, String> ranIn = new HashMap<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      if (arrival.fate() == Ledger.Fate.TAKEN) {
        ranIn.put(arrival.id(), arrival.region());
      }
    }
    Map<String, NavigableMap<Long, Span>> byRegion = new TreeMap<>();
    for (Ledger.Attempt asked : day.ledger().attempts().values()) {
      String region = ranIn.get(asked.id());
      if (region != null) {
        byRegion
            .computeIfAbsent(asked.region(), name -> new TreeMap<>())
            .computeIfAbsent((asked.sentAtMillis() - begins) / STEP_MILLIS, number -> new Span())
            .count(region);
      }
    }
    return byRegion;
  }
}
