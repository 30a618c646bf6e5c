package org.sageladder.scenario.rule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.Ledger.Arrival;
import org.sageladder.standin.platform.Ledger.Attempt;

/**
 * The retries that targets of one service received within one window, and how many the budget of
 * all entry VMs together allows.
 *
 * <pre>{@code
 * RetryWindow.fullest(day).ifPresent(window -> System.out.println(window.usedFraction()));
 * }</pre>
 *
 * @param endMillis end of the window, when its last retry arrived
 * @param maxRetries the most retries that the window may have
 */
public record RetryWindow(String service, long endMillis, int retryCount, double maxRetries) {
  /** The window of the day that used the largest part of its budget; empty without retries. */
  public static Optional<RetryWindow> fullest(SimulatedDay day) {
    return all(day).stream().max(Comparator.comparingDouble(RetryWindow::usedFraction));
  }

  /** Retries as a fraction of those allowed; above 1 if the budget is exceeded. */
  public double usedFraction() {
    return retryCount / maxRetries;
  }

  boolean isExceeded() {
    return retryCount > maxRetries;
  }

  /** One window for each arrival of a retry, ending with it. */
  static List<RetryWindow> all(SimulatedDay day) {
    Map<String, NavigableMap<Long, Integer>> requestsByService = requestTimesByService(day);
    List<RetryWindow> windows = new ArrayList<>();
    retryTimesByService(day)
        .forEach(
            (service, retries) -> {
              NavigableMap<Long, Integer> requests =
                  requestsByService.getOrDefault(service, new TreeMap<>());
              for (long endMillis : retries.keySet()) {
                windows.add(windowTo(endMillis, service, retries, requests, day));
              }
            });
    return windows;
  }

  private static RetryWindow windowTo(
      long endMillis,
      String service,
      NavigableMap<Long, Integer> retries,
      NavigableMap<Long, Integer> requests,
      SimulatedDay day) {
    long windowMillis = day.bounds().retryWindowMillis();
    int maxRequests = 0;
    for (long shiftMillis : List.of(0L, windowMillis / 2, windowMillis)) {
      long toMillis = endMillis - shiftMillis;
      maxRequests = Math.max(maxRequests, count(requests, toMillis - windowMillis, toMillis));
    }
    return new RetryWindow(
        service,
        endMillis,
        count(retries, endMillis - windowMillis, endMillis),
        day.bounds().retryRatio() * maxRequests + day.bounds().extraRetries());
  }

  /** Arrivals beyond the first of each request. */
  private static Map<String, NavigableMap<Long, Integer>> retryTimesByService(SimulatedDay day) {
    Map<String, NavigableMap<Long, Integer>> retries = new HashMap<>();
    Set<String> seenIds = new HashSet<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      if (!seenIds.add(arrival.id())) {
        add(retries, arrival.service(), arrival.at());
      }
    }
    return retries;
  }

  /**
   * Number of requests for each service by the time they were sent, whether they arrived or not.
   */
  private static Map<String, NavigableMap<Long, Integer>> requestTimesByService(SimulatedDay day) {
    Map<String, NavigableMap<Long, Integer>> requests = new HashMap<>();
    for (Attempt attempt : day.ledger().attempts().values()) {
      attempt
          .route()
          .services()
          .forEach(share -> add(requests, share.service(), attempt.sentAtMillis()));
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
}
