package org.sageladder.scenario.rule;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.scenario.SimulatedDay.TroubleInterval;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.Answered;
import org.sageladder.standin.platform.Ledger.Attempt;

/**
 * What callers got around planned stops of entry VMs.
 *
 * <pre>{@code
 * PlannedStops stops = PlannedStops.of(day);
 * stops.violations().forEach(System.out::println);
 * System.out.println(stops.describe()); // 812 answered, 64 refused, 3 failed, 2 closed at once
 * }</pre>
 */
public final class PlannedStops {
  /** Requests sent up to this long after a planned stop began may outlast the grace time. */
  private static final long EXCUSED_AFTER_STOP_MILLIS = 3_000;

  /** Bound on the time between the end of a run and the answer that took its place. */
  private static final long MAX_BREAK_OFF_MILLIS = 500;

  /** An error response is sent shortly before the caller's deadline, to arrive in time. */
  private static final long RESPONSE_MARGIN_MILLIS = 100;

  /** A request whose connection ends later than this after its last byte may have been read. */
  private static final long MAX_UNREAD_MILLIS = 200;

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int FIRST_ERROR_STATUS = 500;

  /** What an attempt ended with. */
  private enum Ending {
    ANSWERED,
    REFUSED,
    FAILED,
    CUT,
    CLOSED_AT_ONCE,
    CLOSED_LATE,
    LEFT
  }

  private final SimulatedDay day;
  private final Set<String> idsAtTargets = new HashSet<>();

  private PlannedStops(SimulatedDay day) {
    this.day = day;
    for (Ledger.Arrival arrival : day.ledger().arrivals()) {
      if (arrival.fate() == Ledger.Fate.TAKEN) {
        idsAtTargets.add(arrival.id());
      }
    }
  }

  /** The planned stops of {@code day}. */
  public static PlannedStops of(SimulatedDay day) {
    return new PlannedStops(day);
  }

  /**
   * Requests that reached a target but received no response although no unplanned trouble was in
   * effect, or an error response in place of a run that was broken off. A planned stop must
   * complete every request that was sent on, unless its run outlasts the grace time.
   */
  public List<String> violations() {
    List<String> violations = new ArrayList<>();
    for (Attempt attempt : day.ledger().attempts().values()) {
      Optional<Answered> answer = day.ledger().answer(attempt.id());
      if (answer.isEmpty()) {
        continue;
      }
      if (answer.get().status() == 0
          && reachedTarget(attempt.id())
          && !isExcused(attempt, answer.get())) {
        violations.add(describe(attempt, answer.get(), "was cut off"));
      } else if (isBrokenOff(attempt, answer.get())
          && !isExcused(attempt, answer.get())
          && !isAtDeadline(attempt, answer.get())) {
        violations.add(describe(attempt, answer.get(), "was broken off"));
      }
    }
    return violations;
  }

  private boolean isExcused(Attempt attempt, Answered answer) {
    return answer.at() - attempt.sentAtMillis() >= attempt.route().timeoutMillis()
        || !day.isUndisturbed(attempt.sentAtMillis(), answer.at())
        || outlastsGracePeriod(attempt);
  }

  /** True if the answer came as the time of the route or of the caller was up. */
  private static boolean isAtDeadline(Attempt attempt, Answered answer) {
    long limitMillis = Math.min(attempt.route().timeoutMillis(), attempt.deadlineMillis());
    return answer.at() - attempt.sentAtMillis() >= limitMillis - RESPONSE_MARGIN_MILLIS;
  }

  /** True if a run ended without a response as the caller got an error of the system's own. */
  private boolean isBrokenOff(Attempt attempt, Answered answer) {
    return answer.status() >= FIRST_ERROR_STATUS
        && !answer.sealed()
        && stopAt(attempt).isPresent()
        && day.ledger().runs(attempt.id()).stream()
            .anyMatch(
                run ->
                    run.responseBody() == null
                        && Math.abs(answer.at() - run.endedAtMillis()) <= MAX_BREAK_OFF_MILLIS);
  }

  /**
   * Returns true if the VM was being stopped, the request was sent before the stop or shortly after
   * it began, and its target was still running it in the last sixth of the grace time.
   */
  private boolean outlastsGracePeriod(Attempt attempt) {
    long lastSixthOffsetMillis = day.bounds().graceMillis() * 5 / 6;
    return day.plannedIntervals(attempt.entryVmIp()).stream()
        .filter(stop -> attempt.sentAtMillis() <= stop.fromMillis() + EXCUSED_AFTER_STOP_MILLIS)
        .anyMatch(
            stop ->
                day.ledger().runs(attempt.id()).stream()
                    .anyMatch(
                        run ->
                            run.endedAtMillis() < 0
                                || run.endedAtMillis()
                                    >= stop.fromMillis() + lastSixthOffsetMillis));
  }

  private boolean reachedTarget(String id) {
    return idsAtTargets.contains(id) || !day.ledger().runs(id).isEmpty();
  }

  /** The planned stop of its VM during which the attempt was sent. */
  private Optional<TroubleInterval> stopAt(Attempt attempt) {
    return day.plannedIntervals(attempt.entryVmIp()).stream()
        .filter(stop -> attempt.sentAtMillis() <= stop.toMillis())
        .filter(
            stop -> attempt.sentAtMillis() + attempt.route().timeoutMillis() >= stop.fromMillis())
        .findFirst();
  }

  private String describe(Attempt attempt, Answered answer, String what) {
    String offset =
        stopAt(attempt)
            .map(
                stop ->
                    String.format(
                        Locale.ROOT,
                        ", sent %d ms and ended %d ms after the stop signal",
                        attempt.sentAtMillis() - stop.fromMillis(),
                        answer.at() - stop.fromMillis()))
            .orElse("");
    String runs =
        day.ledger().runs(attempt.id()).stream()
            .map(run -> " run for " + (run.endedAtMillis() - run.startedAtMillis()) + " ms")
            .collect(Collectors.joining(","));
    return attempt.id() + " at " + attempt.entryVmIp() + ' ' + what + offset + runs;
  }

  /** Counts of how the attempts ended that were sent to a VM while it stopped. */
  public String describe() {
    Map<Ending, Integer> counts = new EnumMap<>(Ending.class);
    for (Attempt attempt : day.ledger().attempts().values()) {
      boolean isDuringStop =
          day.plannedIntervals(attempt.entryVmIp()).stream()
              .anyMatch(
                  stop ->
                      attempt.sentAtMillis() >= stop.fromMillis()
                          && attempt.sentAtMillis()
                              <= stop.fromMillis() + day.bounds().graceMillis());
      if (isDuringStop) {
        counts.merge(endingOf(attempt), 1, Integer::sum);
      }
    }
    return counts.entrySet().stream()
        .map(
            count ->
                count.getValue()
                    + " "
                    + count.getKey().name().toLowerCase(Locale.ROOT).replace('_', ' '))
        .collect(Collectors.joining(", "));
  }

  /** Counts by second after the stop signal of connections that were closed late. */
  public String describeLateCloses() {
    Map<Long, Integer> counts = new TreeMap<>();
    for (Attempt attempt : day.ledger().attempts().values()) {
      Optional<TroubleInterval> stop = stopAt(attempt);
      if (stop.isPresent() && endingOf(attempt) == Ending.CLOSED_LATE) {
        long closedMillis =
            day.ledger().answer(attempt.id()).orElseThrow().at() - stop.get().fromMillis();
        counts.merge(closedMillis / MILLIS_PER_SECOND, 1, Integer::sum);
      }
    }
    return counts.toString();
  }

  private Ending endingOfUnanswered(Attempt attempt, Answered answer) {
    if (reachedTarget(attempt.id())) {
      return Ending.CUT;
    }
    boolean isLate = answer.at() - attempt.sentAtMillis() > MAX_UNREAD_MILLIS;
    return isLate ? Ending.CLOSED_LATE : Ending.CLOSED_AT_ONCE;
  }

  private Ending endingOf(Attempt attempt) {
    Optional<Answered> answer = day.ledger().answer(attempt.id());
    if (answer.isEmpty()) {
      return Ending.LEFT;
    }
    int status = answer.get().status();
    if (status == 0) {
      return endingOfUnanswered(attempt, answer.get());
    }
    if (ResponseRules.NOT_RUN_STATUSES.contains(status)) {
      return Ending.REFUSED;
    }
    return answer.get().sealed() ? Ending.ANSWERED : Ending.FAILED;
  }
}
