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

/** Results of a simulated day per window of two seconds, kind of request, route and zone. */
final class TrafficReport {
  private static final long WINDOW_MILLIS = 2_000;

  /** Counts of requests by result. */
  private static final class RequestCounts {
    int sentCount;
    int inTimeCount;
    int successCount;

    void add(CompletedRequest request) {
      boolean succeeded = request.status() >= 200 && request.status() < 300;
      sentCount++;
      successCount += succeeded ? 1 : 0;
      inTimeCount +=
          succeeded && request.durationMillis() <= request.profile().latencyGoalMillis() ? 1 : 0;
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%6d %7.3f %7.3f",
          sentCount,
          (double) inTimeCount / sentCount,
          (double) successCount / sentCount);
    }
  }

  private final Map<Long, RequestCounts> requestsByTime = new TreeMap<>();
  private final Map<String, RequestCounts> requestsByRoute = new TreeMap<>();
  private final Map<String, RequestCounts> requestsByZone = new TreeMap<>();

  private final Map<String, RunCounts> runsByRoute = new TreeMap<>();

  /** A wait at a target longer than this counts as the cause of a late response. */
  private static final long MIN_LATE_WAIT_MILLIS = 50;

  /** Runs at targets, and why their responses were late. */
  private static final class RunCounts {
    private final Set<String> objectTargetPairs = new HashSet<>();
    private final Set<String> objects = new HashSet<>();
    private int runCount;
    private int uncachedCount;
    private int lateCount;
    private int lateUncachedCount;
    private int lateWaitedCount;

    /**
     * Counts the request if its response missed the latency goal, and why. {@code run} is the
     * request's last run.
     */
    void recordResponse(
        Ledger.Attempt attempt, Ledger.Run run, long arrivedMillis, long latencyMillis) {
      if (latencyMillis <= attempt.route().latencyGoalMillis()) {
        return;
      }
      lateCount++;
      if (!run.hadCached()) {
        lateUncachedCount++;
      } else if (run.startedAtMillis() - arrivedMillis > MIN_LATE_WAIT_MILLIS) {
        lateWaitedCount++;
      }
    }

    void addRun(Ledger.Attempt attempt, Ledger.Run run) {
      runCount++;
      uncachedCount += run.hadCached() ? 0 : 1;
      objects.add(attempt.path());
      objectTargetPairs.add(attempt.path() + ' ' + run.target());
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%6d runs, %5d uncached, %.1f targets per object; %d late: %d uncached, %d waited",
          runCount,
          uncachedCount,
          (double) objectTargetPairs.size() / objects.size(),
          lateCount,
          lateUncachedCount,
          lateWaitedCount);
    }
  }

  private TrafficReport() {}

  static TrafficReport of(SimulatedDay day, Deployment deployment) {
    TrafficReport report = new TrafficReport();
    List<String> routes = deployment.requestProfiles().stream().map(RequestProfile::route).toList();
    for (CompletedRequest request : day.requests()) {
      if (routes.contains(request.profile().route())) {
        long startMillis = request.startedAtMillis() / WINDOW_MILLIS * WINDOW_MILLIS;
        report.requestsByTime.computeIfAbsent(startMillis, at -> new RequestCounts()).add(request);
        report
            .requestsByRoute
            .computeIfAbsent(request.profile().route(), key -> new RequestCounts())
            .add(request);
        report
            .requestsByZone
            .computeIfAbsent(request.zone(), key -> new RequestCounts())
            .add(request);
      }
    }
    Map<String, Long> arrivalMillisById = new HashMap<>();
    day.ledger().arrivals().forEach(arrival -> arrivalMillisById.put(arrival.id(), arrival.at()));
    for (Ledger.Attempt attempt : day.ledger().attempts().values()) {
      RunCounts routeRuns =
          report.runsByRoute.computeIfAbsent(attempt.route().name(), key -> new RunCounts());
      List<Ledger.Run> requestRuns = day.ledger().runs(attempt.id());
      requestRuns.forEach(run -> routeRuns.addRun(attempt, run));
      Long arrivedMillis = arrivalMillisById.get(attempt.id());
      Optional<Ledger.Answered> answer = day.ledger().answer(attempt.id());
      if (!requestRuns.isEmpty() && arrivedMillis != null && answer.isPresent()) {
        Ledger.Run last = requestRuns.get(requestRuns.size() - 1);
        routeRuns.recordResponse(
            attempt, last, arrivedMillis, answer.get().at() - attempt.sentAtMillis());
      }
    }
    return report;
  }

  void print(PrintStream out) {
    out.println("  from ms       asked in time  served");
    requestsByTime.forEach(
        (startMillis, counts) -> out.printf(Locale.ROOT, "  %-12d %s%n", startMillis, counts));
    requestsByRoute.forEach(
        (route, counts) -> out.printf(Locale.ROOT, "  %-12s %s%n", route, counts));
    runsByRoute.forEach((route, counts) -> out.printf(Locale.ROOT, "  %-12s %s%n", route, counts));
    requestsByZone.forEach((zone, counts) -> out.printf(Locale.ROOT, "  %-12s %s%n", zone, counts));
  }
}
