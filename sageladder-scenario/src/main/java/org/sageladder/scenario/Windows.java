package org.sageladder.scenario;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.sageladder.standin.platform.CallersStandIn.CompletedRequest;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.RequestProfile;

/** What callers got in each two seconds of a day, and of each kind of request. */
final class Windows {
  private static final long WINDOW_MILLIS = 2_000;

  /** Counts of requests. */
  private static final class Counts {
    int asked;
    int inTime;
    int served;

    void add(CompletedRequest request) {
      boolean good = request.status() >= 200 && request.status() < 300;
      asked++;
      served += good ? 1 : 0;
      inTime += good && request.durationMillis() <= request.profile().latencyGoalMillis() ? 1 : 0;
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

  private final Map<String, Runs> runs = new TreeMap<>();

  /** A wait at a target that counts as a cause of lateness, in milliseconds. */
  private static final long LONG_WAIT_MILLIS = 50;

  /** Runs at targets, and why their answers were late. */
  private static final class Runs {
    private final Set<String> places = new HashSet<>();
    private final Set<String> objects = new HashSet<>();
    private int all;
    private int unknown;
    private int late;
    private int lateUnknown;
    private int lateWaited;

    /** Notes the request's last run, where its answer took {@code millis}. */
    void answered(Ledger.Attempt asked, Ledger.Run run, long arrivedAt, long millis) {
      if (millis <= asked.route().latencyGoalMillis()) {
        return;
      }
      late++;
      if (!run.hadCached()) {
        lateUnknown++;
      } else if (run.startedAtMillis() - arrivedAt > LONG_WAIT_MILLIS) {
        lateWaited++;
      }
    }

    void add(Ledger.Attempt asked, Ledger.Run run) {
      all++;
      unknown += run.hadCached() ? 0 : 1;
      objects.add(asked.path());
      places.add(asked.path() + ' ' + run.target());
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%6d runs, %5d of unknown objects, %.1f targets an object; %d late: %d unknown, %d waited",
          all,
          unknown,
          (double) places.size() / objects.size(),
          late,
          lateUnknown,
          lateWaited);
    }
  }

  private Windows() {}

  static Windows of(Day day, Deployment deployment) {
    Windows windows = new Windows();
    List<String> kinds = deployment.kinds().stream().map(RequestProfile::route).toList();
    for (CompletedRequest request : day.requests()) {
      if (kinds.contains(request.profile().route())) {
        long from = request.startedAtMillis() / WINDOW_MILLIS * WINDOW_MILLIS;
        windows.byTime.computeIfAbsent(from, at -> new Counts()).add(request);
        windows.byKind.computeIfAbsent(request.profile().route(), key -> new Counts()).add(request);
        windows.byZone.computeIfAbsent(request.zone(), key -> new Counts()).add(request);
      }
    }
    Map<String, Long> arrivals = new HashMap<>();
    day.ledger().arrivals().forEach(arrival -> arrivals.put(arrival.id(), arrival.at()));
    for (Ledger.Attempt asked : day.ledger().attempts().values()) {
      Runs ofRoute = windows.runs.computeIfAbsent(asked.route().name(), key -> new Runs());
      List<Ledger.Run> ofRequest = day.ledger().runs(asked.id());
      ofRequest.forEach(run -> ofRoute.add(asked, run));
      Long arrivedAt = arrivals.get(asked.id());
      Optional<Ledger.Answered> answer = day.ledger().answer(asked.id());
      if (!ofRequest.isEmpty() && arrivedAt != null && answer.isPresent()) {
        Ledger.Run last = ofRequest.get(ofRequest.size() - 1);
        ofRoute.answered(asked, last, arrivedAt, answer.get().at() - asked.sentAtMillis());
      }
    }
    return windows;
  }

  void print(PrintStream out) {
    out.println("  from ms       asked in time  served");
    byTime.forEach((from, counts) -> out.printf(Locale.ROOT, "  %-12d %s%n", from, counts));
    byKind.forEach((kind, counts) -> out.printf(Locale.ROOT, "  %-12s %s%n", kind, counts));
    runs.forEach((kind, counts) -> out.printf(Locale.ROOT, "  %-12s %s%n", kind, counts));
    byZone.forEach((zone, counts) -> out.printf(Locale.ROOT, "  %-12s %s%n", zone, counts));
  }
}
