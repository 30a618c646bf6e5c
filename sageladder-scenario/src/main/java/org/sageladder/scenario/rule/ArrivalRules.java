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
import org.sageladder.scenario.Day;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.Arrival;
import org.sageladder.standin.platform.Ledger.Attempt;
import org.sageladder.standin.platform.Ledger.PlatformEvent;

/** Rules on what reaches targets. */
final class ArrivalRules {
  /** Time for a caller's close to reach its target. */
  private static final long GONE_MILLIS = 500;

  private static final int FEW = 3;
  private static final double RUN_ON_SHARE = 0.25;
  private static final int FEW_RUN_ON = 4;

  private ArrivalRules() {}

  private static List<String> lines(Day day, Predicate<Arrival> breaks) {
    return day.ledger().arrivals().stream().filter(breaks).map(Arrival::toString).toList();
  }

  private static boolean isTaken(Arrival arrival) {
    return arrival.fate() == Ledger.Fate.TAKEN;
  }

  static List<String> unasked(Day day) {
    return lines(day, arrival -> !arrival.wellFormed());
  }

  static List<String> wrongService(Day day) {
    return lines(
        day,
        arrival ->
            isTaken(arrival)
                && day.ledger()
                    .attempt(arrival.id())
                    .map(asked -> day.services(asked.route().name()))
                    .filter(services -> !services.contains(arrival.service()))
                    .isPresent());
  }

  static List<String> wrongRegion(Day day) {
    return lines(
        day,
        arrival ->
            isTaken(arrival)
                && day.ledger()
                    .attempt(arrival.id())
                    .filter(asked -> !asked.route().allows(arrival.region()))
                    .isPresent());
  }

  static List<String> afterLeaving(Day day) {
    Map<String, Long> left = new HashMap<>();
    day.ledger()
        .events(PlatformEvent.Kind.TARGET_LEAVES)
        .forEach(moment -> left.putIfAbsent(moment.subject(), moment.atMillis()));
    // A target that lives and whose entry had lapsed has not left.
    day.ledger()
        .events(PlatformEvent.Kind.TARGET_BACK)
        .forEach(moment -> left.remove(moment.subject()));
    return lines(
        day,
        arrival -> {
          Long at = left.get(arrival.target());
          return at != null
              && arrival.fate() != Ledger.Fate.OTHER_TARGET
              && arrival.at() > at + day.bounds().drainMillis()
              && day.linksSound(arrival.zone(), arrival.at())
              && day.inTouch(arrival.from(), at, arrival.at());
        });
  }

  static List<String> afterEmptying(Day day) {
    List<PlatformEvent> emptied = day.ledger().events(PlatformEvent.Kind.ZONE_EMPTIED);
    List<PlatformEvent> back = day.ledger().events(PlatformEvent.Kind.ZONE_TAKEN_BACK);
    return lines(
        day,
        arrival ->
            arrival.fate() != Ledger.Fate.OTHER_TARGET
                && emptied.stream()
                    .filter(moment -> moment.subject().equals(arrival.zone()))
                    .anyMatch(moment -> isWithin(day, moment, back, arrival)));
  }

  private static boolean isWithin(
      Day day, PlatformEvent emptied, List<PlatformEvent> back, Arrival arrival) {
    long until =
        back.stream()
            .filter(
                moment ->
                    moment.subject().equals(emptied.subject())
                        && moment.atMillis() > emptied.atMillis())
            .mapToLong(PlatformEvent::atMillis)
            .min()
            .orElse(Long.MAX_VALUE);
    return arrival.at() > emptied.atMillis() + day.bounds().evacuateMillis()
        && arrival.at() < until
        && day.linksSound(arrival.zone(), arrival.at())
        && day.inTouch(arrival.from(), emptied.atMillis(), arrival.at());
  }

  /** A service that only an older configuration allows, after the newer one is in force. */
  static List<String> olderConfiguration(Day day) {
    return lines(
        day,
        arrival -> {
          Optional<Attempt> asked = day.ledger().attempt(arrival.id());
          if (asked.isEmpty() || !isTaken(arrival)) {
            return false;
          }
          Set<String> now =
              asked.get().route().services().stream()
                  .map(share -> share.service())
                  .collect(Collectors.toSet());
          long since = lastChange(day, asked.get());
          return !now.contains(arrival.service())
              && asked.get().sentAtMillis() > since + day.bounds().configurationApplyMillis()
              && day.inTouch(arrival.from(), since, arrival.at());
        });
  }

  private static long lastChange(Day day, Attempt asked) {
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
  static List<String> afterTheCallerLeft(Day day) {
    List<String> late =
        lines(
            day,
            arrival ->
                day.ledger()
                    .callerLeftAtMillis(arrival.id())
                    .filter(at -> arrival.at() > at + GONE_MILLIS)
                    .filter(at -> day.inTouch(arrival.from(), at, arrival.at()))
                    .isPresent());
    List<String> broken = new ArrayList<>(late.size() > FEW ? late : List.of());
    List<String> runOn = new ArrayList<>();
    int[] left = {0};
    day.ledger().runs().values().stream()
        .flatMap(List::stream)
        .forEach(run -> countRunOn(day, run, left, runOn));
    if (runOn.size() > FEW_RUN_ON && runOn.size() > RUN_ON_SHARE * left[0]) {
      broken.addAll(runOn);
    }
    return broken;
  }

  private static void countRunOn(Day day, Ledger.Run run, int[] left, List<String> runOn) {
    Optional<Long> at = day.ledger().callerLeftAtMillis(run.id());
    Optional<Attempt> asked = day.ledger().attempt(run.id());
    if (at.isEmpty() || asked.isEmpty() || !asked.get().route().idempotent()) {
      return;
    }
    if (!day.inTouch(asked.get().entryVmIp(), at.get(), at.get() + GONE_MILLIS)) {
      return;
    }
    boolean ranOn = run.endedAtMillis() < 0 || run.endedAtMillis() > at.get() + GONE_MILLIS;
    boolean dropped = run.status() == 0 && !ranOn;
    left[0] += ranOn || dropped ? 1 : 0;
    if (ranOn) {
      runOn.add(run.id() + " ran on at " + run.target() + " after its caller left");
    }
  }
}
