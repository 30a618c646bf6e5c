package org.sageladder.scenario.rule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
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

/** Rules on what reaches targets. */
final class ArrivalRules {
  /** Time for a caller's close to reach its target. */
  private static final long CLOSE_PROPAGATION_MILLIS = 500;

  private static final int MAX_LATE_SENDS = 3;
  private static final double MAX_CONTINUED_RUN_FRACTION = 0.25;
  private static final int MAX_CONTINUED_RUNS = 4;

  private ArrivalRules() {}

  private static List<String> arrivalsWhere(SimulatedDay day, Predicate<Arrival> breaks) {
    return day.ledger().arrivals().stream().filter(breaks).map(Arrival::toString).toList();
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
                    .map(asked -> day.allowedServices(asked.route().name()))
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
                    .filter(asked -> !asked.route().allows(arrival.region()))
                    .isPresent());
  }

  static List<String> afterDrain(SimulatedDay day) {
    Map<String, Long> left = new HashMap<>();
    day.ledger()
        .events(PlatformEvent.Kind.TARGET_LEAVES)
        .forEach(moment -> left.putIfAbsent(moment.subject(), moment.atMillis()));
    // A target that lives and whose entry had lapsed has not left.
    day.ledger()
        .events(PlatformEvent.Kind.TARGET_BACK)
        .forEach(moment -> left.remove(moment.subject()));
    return arrivalsWhere(
        day,
        arrival -> {
          Long at = left.get(arrival.target());
          return at != null
              && arrival.fate() != Ledger.Fate.OTHER_TARGET
              && arrival.at() > at + day.bounds().drainMillis()
              && day.areLinksHealthy(arrival.zone(), arrival.at())
              && day.isInContact(arrival.from(), at, arrival.at());
        });
  }

  static List<String> afterEvacuation(SimulatedDay day) {
    List<PlatformEvent> emptied = day.ledger().events(PlatformEvent.Kind.ZONE_EMPTIED);
    List<PlatformEvent> back = day.ledger().events(PlatformEvent.Kind.ZONE_TAKEN_BACK);
    return arrivalsWhere(
        day,
        arrival ->
            arrival.fate() != Ledger.Fate.OTHER_TARGET
                && emptied.stream()
                    .filter(moment -> moment.subject().equals(arrival.zone()))
                    .anyMatch(moment -> isDuringEvacuation(day, moment, back, arrival)));
  }

  private static boolean isDuringEvacuation(
      SimulatedDay day, PlatformEvent evacuated, List<PlatformEvent> back, Arrival arrival) {
    long until =
        back.stream()
            .filter(
                moment ->
                    moment.subject().equals(evacuated.subject())
                        && moment.atMillis() > evacuated.atMillis())
            .mapToLong(PlatformEvent::atMillis)
            .min()
            .orElse(Long.MAX_VALUE);
    return arrival.at() > evacuated.atMillis() + day.bounds().evacuateMillis()
        && arrival.at() < until
        && day.areLinksHealthy(arrival.zone(), arrival.at())
        && day.isInContact(arrival.from(), evacuated.atMillis(), arrival.at());
  }

  /** A service that only an older configuration allows, after the newer one is in force. */
  static List<String> staleConfiguration(SimulatedDay day) {
    return arrivalsWhere(
        day,
        arrival -> {
          Optional<Attempt> asked = day.ledger().attempt(arrival.id());
          if (asked.isEmpty() || !isAccepted(arrival)) {
            return false;
          }
          Set<String> now =
              asked.get().route().services().stream()
                  .map(share -> share.service())
                  .collect(Collectors.toSet());
          long since = lastChangeMillis(day, asked.get());
          return !now.contains(arrival.service())
              && asked.get().sentAtMillis() > since + day.bounds().configurationApplyMillis()
              && day.isInContact(arrival.from(), since, arrival.at());
        });
  }

  private static long lastChangeMillis(SimulatedDay day, Attempt asked) {
    return day.ledger().events(PlatformEvent.Kind.CONFIGURATION).stream()
        .filter(
            moment ->
                moment.subject().equals(asked.route().name())
                    && moment.atMillis() <= asked.sentAtMillis())
        .map(PlatformEvent::atMillis)
        .max(Comparator.naturalOrder())
        .orElse(0L);
  }

  /** New sends for a caller that has left, and work that goes on for it. */
  static List<String> afterCallerLeft(SimulatedDay day) {
    List<String> late =
        arrivalsWhere(
            day,
            arrival ->
                day.ledger()
                    .callerLeftAtMillis(arrival.id())
                    .filter(at -> arrival.at() > at + CLOSE_PROPAGATION_MILLIS)
                    .filter(at -> day.isInContact(arrival.from(), at, arrival.at()))
                    .isPresent());
    List<String> broken = new ArrayList<>(late.size() > MAX_LATE_SENDS ? late : List.of());
    List<String> runOn = new ArrayList<>();
    int[] left = {0};
    day.ledger().runs().values().stream()
        .flatMap(List::stream)
        .forEach(run -> countContinuedRun(day, run, left, runOn));
    if (runOn.size() > MAX_CONTINUED_RUNS && runOn.size() > MAX_CONTINUED_RUN_FRACTION * left[0]) {
      broken.addAll(runOn);
    }
    return broken;
  }

  private static void countContinuedRun(
      SimulatedDay day, Ledger.Run run, int[] left, List<String> runOn) {
    Optional<Long> at = day.ledger().callerLeftAtMillis(run.id());
    Optional<Attempt> asked = day.ledger().attempt(run.id());
    if (at.isEmpty() || asked.isEmpty() || !asked.get().route().idempotent()) {
      return;
    }
    if (!day.isInContact(asked.get().entryVmIp(), at.get(), at.get() + CLOSE_PROPAGATION_MILLIS)) {
      return;
    }
    boolean ranOn =
        run.endedAtMillis() < 0 || run.endedAtMillis() > at.get() + CLOSE_PROPAGATION_MILLIS;
    boolean dropped = run.status() == 0 && !ranOn;
    left[0] += ranOn || dropped ? 1 : 0;
    if (ranOn) {
      runOn.add(run.id() + " ran on at " + run.target() + " after its caller left");
    }
  }
}
