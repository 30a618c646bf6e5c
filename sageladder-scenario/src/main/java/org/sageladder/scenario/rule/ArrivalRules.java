package org.sageladder.scenario.rule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.Arrival;
import org.sageladder.standin.platform.Ledger.Attempt;
import org.sageladder.standin.platform.Ledger.PlatformEvent;

/** Rules on the requests that reach targets. */
final class ArrivalRules {
  /** Time within which the close of a caller's connection must take effect at the target. */
  private static final long CLOSE_PROPAGATION_MILLIS = 500;

  private static final int MAX_LATE_SENDS = 3;
  private static final double MAX_CONTINUED_RUN_FRACTION = 0.25;
  private static final int MAX_CONTINUED_RUNS = 4;

  private ArrivalRules() {}

  private static List<String> arrivalsWhere(SimulatedDay day, Predicate<Arrival> isViolation) {
    return day.ledger().arrivals().stream().filter(isViolation).map(Arrival::toString).toList();
  }

  private static boolean isAccepted(Arrival arrival) {
    return arrival.fate() == Ledger.Fate.TAKEN;
  }

  static List<String> alteredRequests(SimulatedDay day) {
    return arrivalsWhere(day, arrival -> !arrival.wellFormed());
  }

  static List<String> wrongService(SimulatedDay day) {
    return arrivalsWhere(
        day,
        arrival ->
            isAccepted(arrival)
                && day.ledger()
                    .attempt(arrival.id())
                    .map(attempt -> day.allowedServices(attempt.route().name()))
                    .filter(services -> !services.contains(arrival.service()))
                    .isPresent());
  }

  static List<String> wrongRegion(SimulatedDay day) {
    return arrivalsWhere(
        day,
        arrival ->
            isAccepted(arrival)
                && day.ledger()
                    .attempt(arrival.id())
                    .filter(attempt -> !attempt.route().allows(arrival.region()))
                    .isPresent());
  }

  static List<String> afterDrain(SimulatedDay day) {
    Map<String, Long> leftMillis = new HashMap<>();
    day.ledger()
        .events(PlatformEvent.Kind.TARGET_LEAVES)
        .forEach(event -> leftMillis.putIfAbsent(event.subject(), event.atMillis()));
    // A running target whose entry expired and was written again has not left.
    day.ledger()
        .events(PlatformEvent.Kind.TARGET_BACK)
        .forEach(event -> leftMillis.remove(event.subject()));
    return arrivalsWhere(
        day,
        arrival -> {
          Long atMillis = leftMillis.get(arrival.target());
          return atMillis != null
              && arrival.fate() != Ledger.Fate.OTHER_TARGET
              && arrival.at() > atMillis + day.bounds().drainMillis()
              && day.areLinksHealthy(arrival.zone(), arrival.at())
              && !day.mayBeHeldUp(arrival.from(), arrival.at())
              && day.isStoreStable(atMillis)
              && isHandledInContact(day, arrival, atMillis);
        });
  }

  /**
   * Returns true if the entry VM was in contact when it took the request, or at {@code
   * changedMillis} if it had taken it before, and when the request arrived.
   */
  private static boolean isHandledInContact(SimulatedDay day, Arrival arrival, long changedMillis) {
    long takenMillis =
        day.ledger().attempt(arrival.id()).map(Attempt::sentAtMillis).orElse(arrival.at());
    return day.isHandledInContact(
        arrival.from(), Math.max(takenMillis, changedMillis), arrival.at());
  }

  static List<String> afterEvacuation(SimulatedDay day) {
    List<PlatformEvent> evacuations = day.ledger().events(PlatformEvent.Kind.ZONE_EMPTIED);
    List<PlatformEvent> reopened = day.ledger().events(PlatformEvent.Kind.ZONE_TAKEN_BACK);
    return arrivalsWhere(
        day,
        arrival ->
            arrival.fate() != Ledger.Fate.OTHER_TARGET
                && evacuations.stream()
                    .filter(event -> event.subject().equals(arrival.zone()))
                    .anyMatch(event -> isDuringEvacuation(day, event, reopened, arrival)));
  }

  private static boolean isDuringEvacuation(
      SimulatedDay day, PlatformEvent evacuated, List<PlatformEvent> reopened, Arrival arrival) {
    long reopenedMillis =
        reopened.stream()
            .filter(
                event ->
                    event.subject().equals(evacuated.subject())
                        && event.atMillis() > evacuated.atMillis())
            .mapToLong(PlatformEvent::atMillis)
            .min()
            .orElse(Long.MAX_VALUE);
    return arrival.at() > evacuated.atMillis() + day.bounds().evacuateMillis()
        && arrival.at() < reopenedMillis
        && day.areLinksHealthy(arrival.zone(), arrival.at())
        && !day.mayBeHeldUp(arrival.from(), arrival.at())
        && isHandledInContact(day, arrival, evacuated.atMillis());
  }

  /**
   * Requests sent to a service that only an older configuration allows: neither the one in force
   * when the caller sent the request, nor any that was written before the request arrived.
   */
  static List<String> staleConfiguration(SimulatedDay day) {
    return arrivalsWhere(
        day,
        arrival -> {
          Optional<Attempt> attempt = day.ledger().attempt(arrival.id());
          if (attempt.isEmpty() || !isAccepted(arrival)) {
            return false;
          }
          Set<String> allowedServices =
              attempt.get().route().services().stream()
                  .map(share -> share.service())
                  .collect(Collectors.toCollection(HashSet::new));
          allowedServices.addAll(
              day.allowedServices(
                  attempt.get().route().name(), attempt.get().sentAtMillis(), arrival.at()));
          long changedMillis = lastChangeMillis(day, attempt.get());
          return !allowedServices.contains(arrival.service())
              && attempt.get().sentAtMillis()
                  > changedMillis + day.bounds().configurationApplyMillis()
              && isHandledInContact(day, arrival, changedMillis);
        });
  }

  private static long lastChangeMillis(SimulatedDay day, Attempt attempt) {
    return day.ledger().events(PlatformEvent.Kind.CONFIGURATION).stream()
        .filter(
            event ->
                event.subject().equals(attempt.route().name())
                    && event.atMillis() <= attempt.sentAtMillis())
        .map(PlatformEvent::atMillis)
        .max(Comparator.naturalOrder())
        .orElse(0L);
  }

  /** Requests sent, and runs continued, after their caller closed its connection. */
  static List<String> afterCallerLeft(SimulatedDay day) {
    List<String> lateSends =
        arrivalsWhere(
            day,
            arrival ->
                day.ledger()
                    .callerLeftAtMillis(arrival.id())
                    .filter(at -> arrival.at() > at + CLOSE_PROPAGATION_MILLIS)
                    .filter(at -> day.isInContact(arrival.from(), at, arrival.at()))
                    .isPresent());
    List<String> violations =
        new ArrayList<>(lateSends.size() > MAX_LATE_SENDS ? lateSends : List.of());
    List<String> continuedRuns = new ArrayList<>();
    int[] abandonedRuns = {0};
    day.ledger().runs().values().stream()
        .flatMap(List::stream)
        .forEach(run -> countContinuedRun(day, run, abandonedRuns, continuedRuns));
    if (continuedRuns.size() > MAX_CONTINUED_RUNS
        && continuedRuns.size() > MAX_CONTINUED_RUN_FRACTION * abandonedRuns[0]) {
      violations.addAll(continuedRuns);
    }
    return violations;
  }

  private static void countContinuedRun(
      SimulatedDay day, Ledger.Run run, int[] abandonedRuns, List<String> continuedRuns) {
    Optional<Long> at = day.ledger().callerLeftAtMillis(run.id());
    Optional<Attempt> attempt = day.ledger().attempt(run.id());
    if (at.isEmpty() || attempt.isEmpty() || !attempt.get().route().idempotent()) {
      return;
    }
    if (!day.isInContact(
        attempt.get().entryVmIp(), at.get(), at.get() + CLOSE_PROPAGATION_MILLIS)) {
      return;
    }
    boolean continued =
        run.endedAtMillis() < 0 || run.endedAtMillis() > at.get() + CLOSE_PROPAGATION_MILLIS;
    boolean dropped = run.status() == 0 && !continued;
    abandonedRuns[0] += continued || dropped ? 1 : 0;
    if (continued) {
      continuedRuns.add(
          run.id() + " continued at " + run.target() + " after its caller disconnected");
    }
  }
}
