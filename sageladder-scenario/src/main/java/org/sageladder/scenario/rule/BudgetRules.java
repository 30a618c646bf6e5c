package org.sageladder.scenario.rule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.Arrival;
import org.sageladder.standin.platform.Ledger.Attempt;

/** Rules on how much reaches targets. */
final class BudgetRules {
  private static final long COLD_WINDOW_MILLIS = 1_000;
  private static final long DEADLINE_TOLERANCE_MILLIS = 500;
  private static final int MAX_REQUESTS_OVER_TARGET_LIMIT = 3;
  private static final int MAX_REQUESTS_OVER_DEADLINE = 20;

  /** Targets that a request may crash before it reaches no further one. */
  private static final int MAX_CRASHED_TARGETS = 3;

  private BudgetRules() {}

  /** More than a cold target bears, in any second, over all entry VMs. */
  static List<String> coldOverload(SimulatedDay day) {
    List<String> broken = new ArrayList<>();
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
      double most =
          day.coldCapacityPerSecond() * day.bounds().coldRateFactor()
              + day.bounds().coldExtraRequests();
      if (times.size() > most) {
        broken.add(arrival.target() + " got " + times.size() + " in a second at " + arrival.at());
      }
    }
    return broken;
  }

  /** More second sends in a window than the shared budget has. */
  static List<String> excessRetries(SimulatedDay day) {
    Map<String, NavigableMap<Long, Integer>> second = new HashMap<>();
    Set<String> seen = new HashSet<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      if (!seen.add(arrival.id())) {
        add(second, arrival.service(), arrival.at());
      }
    }
    Map<String, NavigableMap<Long, Integer>> first = requestTimesByService(day);
    List<String> broken = new ArrayList<>();
    second.forEach(
        (service, times) -> {
          for (long end : times.keySet()) {
            long window = day.bounds().retryWindowMillis();
            int repeats = count(times, end - window, end);
            NavigableMap<Long, Integer> requests = first.getOrDefault(service, new TreeMap<>());
            int most = count(requests, end - window, end);
            most = Math.max(most, count(requests, end - 2 * window, end - window));
            most = Math.max(most, count(requests, end - window * 3 / 2, end - window / 2));
            double bound = day.bounds().retryRatio() * most + day.bounds().extraRetries();
            if (repeats > bound) {
              broken.add(service + " got " + repeats + " second sends in the window to " + end);
            }
          }
        });
    return broken;
  }

  /** Requests on routes to each service, by when they were sent, whether they arrived or not. */
  private static Map<String, NavigableMap<Long, Integer>> requestTimesByService(SimulatedDay day) {
    Map<String, NavigableMap<Long, Integer>> requests = new HashMap<>();
    for (Attempt asked : day.ledger().attempts().values()) {
      asked
          .route()
          .services()
          .forEach(share -> add(requests, share.service(), asked.sentAtMillis()));
    }
    return requests;
  }

  private static void add(
      Map<String, NavigableMap<Long, Integer>> counts, String service, long at) {
    counts.computeIfAbsent(service, name -> new TreeMap<>()).merge(at, 1, Integer::sum);
  }

  private static int count(NavigableMap<Long, Integer> times, long fromMillis, long toMillis) {
    return times.subMap(fromMillis, false, toMillis, true).values().stream().mapToInt(n -> n).sum();
  }

  static List<String> tooManyTargets(SimulatedDay day) {
    List<String> broken = new ArrayList<>();
    day.ledger()
        .runs()
        .forEach(
            (id, runs) -> {
              int most =
                  day.ledger().attempt(id).map(asked -> asked.route().maxTargets()).orElse(1);
              long targets = runs.stream().map(Ledger.Run::target).distinct().count();
              if (targets > most) {
                broken.add(id + " ran at " + targets + " targets");
              }
            });
    return broken.size() > MAX_REQUESTS_OVER_TARGET_LIMIT ? broken : List.of();
  }

  /** More time handed to targets than the caller has. */
  static List<String> extendedDeadlines(SimulatedDay day) {
    List<String> broken = new ArrayList<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      day.ledger()
          .attempt(arrival.id())
          .filter(asked -> exceedsDeadline(arrival, asked))
          .filter(asked -> day.isInContact(arrival.from(), asked.sentAtMillis(), arrival.at()))
          .ifPresent(asked -> broken.add(arrival.toString()));
    }
    return broken.size() > MAX_REQUESTS_OVER_DEADLINE ? broken : List.of();
  }

  private static boolean exceedsDeadline(Arrival arrival, Attempt asked) {
    long ends = arrival.at() + arrival.deadlineMillis();
    return arrival.deadlineMillis() < 0
        || ends > asked.sentAtMillis() + asked.deadlineMillis() + DEADLINE_TOLERANCE_MILLIS;
  }

  /** A request that crashes its targets goes on reaching others. */
  static List<String> repeatedCrashes(SimulatedDay day) {
    Map<String, List<Arrival>> byPath = new HashMap<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      day.ledger()
          .attempt(arrival.id())
          .filter(asked -> asked.path().contains("poison"))
          .ifPresent(
              asked ->
                  byPath.computeIfAbsent(asked.path(), path -> new ArrayList<>()).add(arrival));
    }
    List<String> broken = new ArrayList<>();
    byPath.forEach(
        (path, arrivals) -> {
          if (arrivals.size() <= MAX_CRASHED_TARGETS) {
            return;
          }
          long third = arrivals.get(MAX_CRASHED_TARGETS - 1).at() + day.bounds().discoveryMillis();
          long after =
              arrivals.stream()
                  .filter(arrival -> arrival.at() > third)
                  .filter(arrival -> day.isInContact(arrival.from(), arrival.at(), arrival.at()))
                  .count();
          if (after > MAX_CRASHED_TARGETS) {
            broken.add(path + " reached " + after + " targets after it had crashed three");
          }
        });
    return broken;
  }
}
