package org.sageladder.scenario.rule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.sageladder.scenario.Day;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.Arrival;

/** The requests of a region's callers change the region in which they run only slowly. */
final class Shifts {
  /** Length of the spans that are compared, in milliseconds. */
  private static final long SPAN_MILLIS = 2_000;

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

  private Shifts() {}

  static List<String> tooFast(Day day) {
    long begins =
        day.ledger().asked().values().stream().mapToLong(Ledger.Asked::at).min().orElse(0);
    List<String> broken = new ArrayList<>();
    spans(day, begins)
        .forEach(
            (region, spans) ->
                spans.forEach(
                    (number, span) -> {
                      long at = begins + number * SPAN_MILLIS;
                      Span before = spans.get(number - 1);
                      if (before != null && isTooFast(day, at, before, span)) {
                        broken.add(line(region, at, span.changedSince(before)));
                      }
                    }));
    return broken;
  }

  private static boolean isTooFast(Day day, long at, Span before, Span span) {
    return Math.min(before.all, span.all) >= FEWEST
        && span.changedSince(before) > day.bounds().mostShift()
        && day.calm(at - SPAN_MILLIS, at + SPAN_MILLIS);
  }

  private static String line(String region, long at, double changed) {
    return String.format(
        Locale.ROOT,
        "%.0f in 100 of the requests from %s changed their region at %d ms",
        100 * changed,
        region,
        at);
  }

  /** By region of the callers and number of the span since {@code begins}, by when it was sent. */
  private static Map<String, Map<Long, Span>> spans(Day day, long begins) {
    Map<String, String> ranIn = new HashMap<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      if (arrival.fate() == Ledger.Fate.TAKEN) {
        ranIn.put(arrival.id(), arrival.region());
      }
    }
    Map<String, Map<Long, Span>> byRegion = new TreeMap<>();
    for (Ledger.Asked asked : day.ledger().asked().values()) {
      String region = ranIn.get(asked.id());
      if (region != null) {
        byRegion
            .computeIfAbsent(asked.region(), name -> new TreeMap<>())
            .computeIfAbsent((asked.at() - begins) / SPAN_MILLIS, number -> new Span())
            .count(region);
      }
    }
    return byRegion;
  }
}
