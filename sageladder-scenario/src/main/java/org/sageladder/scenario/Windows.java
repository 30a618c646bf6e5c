package org.sageladder.scenario;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.sageladder.standin.platform.CallerKind;
import org.sageladder.standin.platform.CallersStandIn.Ended;

/** What callers got in each two seconds of a day, and of each kind of request. */
final class Windows {
  private static final long WINDOW_MILLIS = 2_000;

  /** Counts of requests. */
  private static final class Counts {
    int asked;
    int inTime;
    int served;

    void add(Ended request) {
      boolean good = request.status() >= 200 && request.status() < 300;
      asked++;
      served += good ? 1 : 0;
      inTime += good && request.millis() <= request.kind().goalMillis() ? 1 : 0;
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT, "%6d %7.3f %7.3f", asked, (double) inTime / asked, (double) served / asked);
    }
  }

  private final Map<Long, Counts> byTime = new TreeMap<>();
  private final Map<String, Counts> byKind = new TreeMap<>();
  private final Map<String, Counts> byZone = new TreeMap<>();

  private Windows() {}

  static Windows of(Day day, Deployment deployment) {
    Windows windows = new Windows();
    List<String> kinds = deployment.kinds().stream().map(CallerKind::route).toList();
    for (Ended request : day.requests()) {
      if (kinds.contains(request.kind().route())) {
        long from = request.askedAt() / WINDOW_MILLIS * WINDOW_MILLIS;
        windows.byTime.computeIfAbsent(from, at -> new Counts()).add(request);
        windows.byKind.computeIfAbsent(request.kind().route(), key -> new Counts()).add(request);
        windows.byZone.computeIfAbsent(request.zone(), key -> new Counts()).add(request);
      }
    }
    return windows;
  }

  void print(PrintStream out) {
    out.println("  from ms       asked in time  served");
    byTime.forEach((from, counts) -> out.printf(Locale.ROOT, "  %-12d %s%n", from, counts));
    byKind.forEach((kind, counts) -> out.printf(Locale.ROOT, "  %-12s %s%n", kind, counts));
    byZone.forEach((zone, counts) -> out.printf(Locale.ROOT, "  %-12s %s%n", zone, counts));
  }
}
