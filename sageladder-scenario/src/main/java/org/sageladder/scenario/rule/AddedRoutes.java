package org.sageladder.scenario.rule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sageladder.scenario.Day;
import org.sageladder.standin.platform.CallersStandIn.CompletedRequest;
import org.sageladder.standin.platform.Ledger.PlatformEvent;

/** Routes that operators add are served as the first ones are, in calm times. */
final class AddedRoutes {
  /** Fewest requests on added routes that a share is taken of. */
  private static final int FEWEST = 20;

  /** An added route may be served this part as often as the first ones, at the least. */
  private static final double LEAST_PART = 0.25;

  private static final class Share {
    int requests;
    int served;

    void count(CompletedRequest request) {
      requests++;
      served += request.status() >= 200 && request.status() < 300 ? 1 : 0;
    }

    double value() {
      return requests == 0 ? 0 : (double) served / requests;
    }

    @Override
    public String toString() {
      return served + " of " + requests;
    }
  }

  private AddedRoutes() {}

  static List<String> notServed(Day day) {
    Map<String, Long> since = inForceSince(day);
    long first = since.values().stream().mapToLong(Long::longValue).min().orElse(0);
    Share added = new Share();
    Share others = new Share();
    for (CompletedRequest request : day.requests()) {
      Long addedAt = since.get(request.profile().route());
      if (addedAt == null
          || !day.calm(
              request.startedAtMillis(), request.startedAtMillis() + request.durationMillis())) {
        continue;
      }
      if (addedAt == first) {
        others.count(request);
      } else if (request.startedAtMillis() > addedAt + day.bounds().configurationApplyMillis()) {
        added.count(request);
      }
    }
    List<String> broken = new ArrayList<>();
    if (added.requests >= FEWEST && added.value() < LEAST_PART * others.value()) {
      broken.add("of added routes " + added + " are served, of the first ones " + others);
    }
    return broken;
  }

  private static Map<String, Long> inForceSince(Day day) {
    Map<String, Long> since = new HashMap<>();
    day.ledger()
        .events(PlatformEvent.Kind.CONFIGURATION)
        .forEach(moment -> since.merge(moment.subject(), moment.atMillis(), Math::min));
    return since;
  }
}
