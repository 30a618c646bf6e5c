package org.sageladder.scenario.rule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.CallersStandIn.CompletedRequest;
import org.sageladder.standin.platform.Ledger.PlatformEvent;

/**
 * Checks that added routes are served like the initial ones while there is no unplanned trouble.
 */
final class AddedRouteRule {
  /** With fewer requests on added routes than this, the success fraction is not meaningful. */
  private static final int MIN_REQUESTS = 20;

  /** Smallest allowed success fraction of added routes, relative to that of the initial ones. */
  private static final double MIN_RELATIVE_SUCCESS = 0.25;

  private static final class SuccessCount {
    int requests;
    int successes;

    void add(CompletedRequest request) {
      requests++;
      successes += request.status() >= 200 && request.status() < 300 ? 1 : 0;
    }

    double fraction() {
      return requests == 0 ? 0 : (double) successes / requests;
    }

    @Override
    public String toString() {
      return successes + " of " + requests;
    }
  }

  private AddedRouteRule() {}

  static List<String> underserved(SimulatedDay day) {
    Map<String, Long> configuredMillis = firstConfiguredMillis(day);
    long initialMillis =
        configuredMillis.values().stream().mapToLong(Long::longValue).min().orElse(0);
    SuccessCount added = new SuccessCount();
    SuccessCount initial = new SuccessCount();
    for (CompletedRequest request : day.requests()) {
      Long addedMillis = configuredMillis.get(request.profile().route());
      if (addedMillis == null
          || !day.isUndisturbed(
              request.startedAtMillis(), request.startedAtMillis() + request.durationMillis())) {
        continue;
      }
      if (addedMillis == initialMillis) {
        initial.add(request);
      } else if (request.startedAtMillis()
          > addedMillis + day.bounds().configurationApplyMillis()) {
        added.add(request);
      }
    }
    List<String> violations = new ArrayList<>();
    if (added.requests >= MIN_REQUESTS
        && added.fraction() < MIN_RELATIVE_SUCCESS * initial.fraction()) {
      violations.add("added routes: " + added + " succeeded, initial routes: " + initial);
    }
    return violations;
  }

  /** When each route was added that the first configuration does not have. */
  static Map<String, Long> addedMillis(SimulatedDay day) {
    Map<String, Long> configuredMillis = firstConfiguredMillis(day);
    long initialMillis =
        configuredMillis.values().stream().mapToLong(Long::longValue).min().orElse(0);
    configuredMillis.values().removeIf(millis -> millis == initialMillis);
    return configuredMillis;
  }

  private static Map<String, Long> firstConfiguredMillis(SimulatedDay day) {
    Map<String, Long> configuredMillis = new HashMap<>();
    day.ledger()
        .events(PlatformEvent.Kind.CONFIGURATION)
        .forEach(event -> configuredMillis.merge(event.subject(), event.atMillis(), Math::min));
    return configuredMillis;
  }
}
