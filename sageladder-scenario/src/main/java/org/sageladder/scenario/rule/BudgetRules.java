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
import org.sageladder.scenario.Day;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.Arrival;
import org.sageladder.standin.platform.Ledger.Attempt;

/** Rules on how much reaches targets. */
final class BudgetRules {
  private static final long SECOND_MILLIS = 1_000;
  private static final long LATE_MILLIS = 500;
  private static final int FEW_OVER_TARGETS = 3;
  private static final int FEW_OVER_TIME = 20;

  /** Targets that a request may crash before it reaches no further one. */
  private static final int MOST_CRASHED = 3;

  private BudgetRules() {}

  /** More than a cold target bears, in any second, over all entry VMs. */
  static List<String> coldRate(Day day) {
    List<String> broken = new ArrayList<>();
    Map<String, Deque<Long>> recent = new HashMap<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      if (!arrival.cold() || arrival.fate() == Ledger.Fate.OTHER_TARGET) {
        continue;
      }
      Deque<Long> times = recent.computeIfAbsent(arrival.target(), id -> new ArrayDeque<>());
      times.addLast(arrival.at());
      while (times.peekFirst() <= arrival.at() - SECOND_MILLIS) {
        times.removeFirst();
      }
      double most =
          day.coldPerSecond() * day.bounds().coldRateFactor() + day.bounds().coldExtraRequests();
      if (times.size() > most) {
        broken.add(arrival.target() + " got " + times.size() + " in a second at " + arrival.at());
      }
    }
    return broken;
  }

  /** More second sends in a window than the shared budget has. */
  static List<String> secondSends(Day day) {
    Map<String, NavigableMap<Long, Integer>> second = new HashMap<>();
    Set<String> seen = new HashSet<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      if (!seen.add(arrival.id())) {
        add(second, arrival.service(), arrival.at());
      }
    }
    Map<String, NavigableMap<Long, Integer>> first = requests(day);
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
  private static Map<String, NavigableMap<Long, Integer>> requests(Day day) {
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

  private static int count(NavigableMap<Long, Integer> times, long from, long to) {
    return times.subMap(from, false, to, true).values().stream().mapToInt(n -> n).sum();
  }

  static List<String> mostTargets(Day day) {
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
    return broken.size() > FEW_OVER_TARGETS ? broken : List.of();
  }

  /** More time handed to targets than the caller has. */
  static List<String> deadlines(Day day) {
    List<String> broken = new ArrayList<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      day.ledger()
          .attempt(arrival.id())
          .filter(asked -> isLonger(arrival, asked))
          .filter(asked -> day.inTouch(arrival.from(), asked.sentAtMillis(), arrival.at()))
          .ifPresent(asked -> broken.add(arrival.toString()));
    }
    return broken.size() > FEW_OVER_TIME ? broken : List.of();
  }

  private static boolean isLonger(Arrival arrival, Attempt asked) {
    long ends = arrival.at() + arrival.deadlineMillis();
    return arrival.deadlineMillis() < 0
        || ends > asked.sentAtMillis() + asked.deadlineMillis() + LATE_MILLIS;
  }

  /** A request that crashes its targets goes on reaching others. */
  static List<String> crashingRequests(Day day) {
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
          if (arrivals.size() <= MOST_CRASHED) {
            return;
          }
          long third = arrivals.get(MOST_CRASHED - 1).at() + day.bounds().discoveryMillis();
          long after =
              arrivals.stream()
                  .filter(arrival -> arrival.at() > third)
                  .filter(arrival -> day.inTouch(arrival.from(), arrival.at(), arrival.at()))
                  .count();
          if (after > MOST_CRASHED) {
            broken.add(path + " reached " + after + " targets after it had crashed three");
          }
        });
    return broken;
  }
}
