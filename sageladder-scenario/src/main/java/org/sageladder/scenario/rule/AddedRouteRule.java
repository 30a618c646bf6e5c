package org.sageladder.scenario.rule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.CallersStandIn.CompletedRequest;
import org.sageladder.standin.platform.Ledger.PlatformEvent;

/** Routes that operators add are served as the first ones are, in calm times. */
final class AddedRouteRule {
  /** Fewest requests on added routes that a share is taken of. */
  private static final int MIN_REQUESTS = 20;

  /** An added route may be served this part as often as the first ones, at the least. */
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
    Map<String, Long> since = firstConfiguredMillis(day);
    long first = since.values().stream().mapToLong(Long::longValue).min().orElse(0);
    SuccessCount added = new SuccessCount();
    SuccessCount others = new SuccessCount();
    for (CompletedRequest request : day.requests()) {
      Long addedAt = since.get(request.profile().route());
      if (addedAt == null
          || !day.isUndisturbed(
              request.startedAtMillis(), request.startedAtMillis() + request.durationMillis())) {
        continue;
      }
      if (addedAt == first) {
        others.add(request);
      } else if (request.startedAtMillis() > addedAt + day.bounds().configurationApplyMillis()) {
        added.add(request);
      }
    }
    List<String> broken = new ArrayList<>();
    if (added.requests >= MIN_REQUESTS
        && added.fraction() < MIN_RELATIVE_SUCCESS * others.fraction()) {
      broken.add("of added routes " + added + " are served, of the first ones " + others);
    }
    return broken;
  }

  private static Map<String, Long> firstConfiguredMillis(SimulatedDay day) {
    Map<String, Long> since = new HashMap<>();
    day.ledger()
        .events(PlatformEvent.Kind.CONFIGURATION)
        .forEach(moment -> since.merge(moment.subject(), moment.atMillis(), Math::min));
    return since;
  }
}
