package org.sageladder.scenario.rule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.Arrival;
import org.sageladder.standin.platform.Ledger.Attempt;

/** Rules on retries, the load on cold targets, and the number of targets per request. */
final class BudgetRules {
  private static final long COLD_WINDOW_MILLIS = 1_000;
  private static final long DEADLINE_TOLERANCE_MILLIS = 500;
  private static final int MAX_REQUESTS_OVER_TARGET_LIMIT = 3;
  private static final int MAX_REQUESTS_OVER_DEADLINE = 20;

  /** Number of targets that a request may crash before it must be kept away from further ones. */
  private static final int MAX_CRASHED_TARGETS = 3;

  private BudgetRules() {}

  /** Cold targets that received more requests in some second than they can handle. */
  static List<String> coldOverload(SimulatedDay day) {
    List<String> violations = new ArrayList<>();
    Map<String, Deque<Long>> recent = new HashMap<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      if (!arrival.cold() || arrival.fate() == Ledger.Fate.OTHER_TARGET) {
        continue;
      }
      Deque<Long> times = recent.computeIfAbsent(arrival.target(), id -> new ArrayDeque<>());
      times.addLast(arrival.at());
      while (times.peekFirst() <= arrival.at() - COLD_WINDOW_MILLIS) {
        times.removeFirst();
      }
      double maxPerSecond =
          day.coldCapacityPerSecond() * day.bounds().coldRateFactor()
              + day.bounds().coldExtraRequests();
      if (times.size() > maxPerSecond) {
        violations.add(
            arrival.target()
                + " received "
                + times.size()
                + " requests in a second at "
                + arrival.at());
      }
    }
    return violations;
  }

  /** Windows with more retries than the shared budget allows. */
  static List<String> excessRetries(SimulatedDay day) {
    return RetryWindow.all(day).stream()
        .filter(RetryWindow::isExceeded)
        .map(
            window ->
                window.service()
                    + " received "
                    + window.retryCount()
                    + " retries in the window to "
                    + window.endMillis())
        .toList();
  }

  static List<String> tooManyTargets(SimulatedDay day) {
    List<String> violations = new ArrayList<>();
    day.ledger()
        .runs()
        .forEach(
            (id, runs) -> {
              int maxTargets =
                  day.ledger().attempt(id).map(attempt -> attempt.route().maxTargets()).orElse(1);
              long targets = runs.stream().map(Ledger.Run::target).distinct().count();
              if (targets > maxTargets) {
                violations.add(id + " ran at " + targets + " targets");
              }
            });
    return violations.size() > MAX_REQUESTS_OVER_TARGET_LIMIT ? violations : List.of();
  }

  /** Requests whose deadline at the target is later than that of the caller. */
  static List<String> extendedDeadlines(SimulatedDay day) {
    List<String> violations = new ArrayList<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      day.ledger()
          .attempt(arrival.id())
          .filter(attempt -> exceedsDeadline(day, arrival, attempt))
          .filter(attempt -> day.isInContact(arrival.from(), attempt.sentAtMillis(), arrival.at()))
          .ifPresent(attempt -> violations.add(arrival.toString()));
    }
    return violations.size() > MAX_REQUESTS_OVER_DEADLINE ? violations : List.of();
  }

  private static boolean exceedsDeadline(SimulatedDay day, Arrival arrival, Attempt attempt) {
    // The time left was stated when the request was sent, perhaps as soon as the caller sent it.
    boolean mayBeHeldUp = day.mayBeHeldUp(arrival.from(), arrival.at());
    long statedAtMillis = mayBeHeldUp ? attempt.sentAtMillis() : arrival.at();
    long deadlineAtMillis = statedAtMillis + arrival.deadlineMillis();
    return arrival.deadlineMillis() < 0
        || deadlineAtMillis
            > attempt.sentAtMillis() + attempt.deadlineMillis() + DEADLINE_TOLERANCE_MILLIS;
  }

  /** Requests that crash their targets and still reach further ones. */
  static List<String> repeatedCrashes(SimulatedDay day) {
    Map<String, List<Arrival>> byPath = new HashMap<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      day.ledger()
          .attempt(arrival.id())
          .filter(attempt -> attempt.path().contains("poison"))
          .ifPresent(
              attempt ->
                  byPath.computeIfAbsent(attempt.path(), path -> new ArrayList<>()).add(arrival));
    }
    List<String> violations = new ArrayList<>();
    byPath.forEach(
        (path, arrivals) -> {
          if (arrivals.size() <= MAX_CRASHED_TARGETS) {
            return;
          }
          long afterThirdCrashMillis =
              arrivals.get(MAX_CRASHED_TARGETS - 1).at() + day.bounds().discoveryMillis();
          long reachedAfter =
              arrivals.stream()
                  .filter(arrival -> arrival.at() > afterThirdCrashMillis)
                  .filter(arrival -> day.isInContact(arrival.from(), arrival.at(), arrival.at()))
                  .count();
          if (reachedAfter > MAX_CRASHED_TARGETS) {
            violations.add(
                path + " reached " + reachedAfter + " targets after it had crashed three");
          }
        });
    return violations;
  }
}
