package org.sageladder.scenario.rule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.Answered;
import org.sageladder.standin.platform.Ledger.Attempt;

/**
 * Rules on valid requests that the system itself denied, by a status that callers take as final.
 */
final class DenialRules {
  private static final int UNAUTHORIZED = 401;

  /** Number of valid requests that may be denied without violating the rule. */
  private static final int MAX_DENIED = 5;

  /** An entry VM that has served a route denies no request on it that is sent later than this. */
  private static final long MAX_ROLLBACK_MILLIS = 250;

  private DenialRules() {}

  /** Denied requests that every configuration which may be in force allows. */
  static List<String> allowedByAll(SimulatedDay day) {
    Map<String, Long> addedMillis = AddedRouteRule.addedMillis(day);
    List<String> violations = new ArrayList<>();
    for (Attempt attempt : day.ledger().attempts().values()) {
      boolean mayBeUnknown =
          attempt.sentAtMillis()
              <= addedMillis.getOrDefault(attempt.route().name(), Long.MIN_VALUE)
                  + day.bounds().configurationApplyMillis();
      if (isDenied(day, attempt) && !mayBeUnknown) {
        violations.add(describe(day, attempt));
      }
    }
    return violations.size() > MAX_DENIED ? violations : List.of();
  }

  /**
   * Requests on an added route that were denied by an entry VM in contact when the configuration
   * must be in force there, or by one that had already served the route.
   */
  static List<String> onAddedRoutes(SimulatedDay day) {
    Map<String, Long> addedMillis = AddedRouteRule.addedMillis(day);
    Map<String, Long> servedMillis = new HashMap<>();
    List<String> violations = new ArrayList<>();
    for (Attempt attempt : bySendTime(day)) {
      String route = attempt.route().name();
      Optional<Answered> answer = day.ledger().answer(attempt.id());
      if (answer.isEmpty() || !addedMillis.containsKey(route)) {
        continue;
      }
      String vmAndRoute = attempt.entryVmIp() + ' ' + route;
      if (answer.get().sealed()) {
        servedMillis.merge(vmAndRoute, answer.get().at(), Math::min);
      } else if (isDenied(day, attempt)
          && (isOverdue(day, attempt, answer.get(), addedMillis.get(route))
              || isRegress(day, attempt, answer.get(), servedMillis.get(vmAndRoute)))) {
        violations.add(describe(day, attempt));
      }
    }
    return violations;
  }

  private static List<Attempt> bySendTime(SimulatedDay day) {
    return day.ledger().attempts().values().stream()
        .sorted(Comparator.comparingLong(Attempt::sentAtMillis))
        .toList();
  }

  private static boolean isOverdue(
      SimulatedDay day, Attempt attempt, Answered answer, long addedMillis) {
    return attempt.sentAtMillis() > addedMillis + day.bounds().configurationApplyMillis()
        && day.isInContact(attempt.entryVmIp(), addedMillis, answer.at());
  }

  private static boolean isRegress(
      SimulatedDay day, Attempt attempt, Answered answer, @Nullable Long servedMillis) {
    return servedMillis != null
        && attempt.sentAtMillis() > servedMillis + MAX_ROLLBACK_MILLIS
        && !day.wasDisturbed(attempt.entryVmIp(), servedMillis, answer.at());
  }

  private static boolean isDenied(SimulatedDay day, Attempt attempt) {
    int status = day.ledger().answer(attempt.id()).map(Ledger.Answered::status).orElse(0);
    return status >= 300
        && status < 500
        && !ResponseRules.NOT_RUN_STATUSES.contains(status)
        && !(status == UNAUTHORIZED && !KeyRules.isKeyValid(day, attempt.id()));
  }

  private static String describe(SimulatedDay day, Attempt attempt) {
    int status = day.ledger().answer(attempt.id()).map(Ledger.Answered::status).orElse(0);
    return attempt.id() + " of " + attempt.route().name() + " received " + status;
  }
}
