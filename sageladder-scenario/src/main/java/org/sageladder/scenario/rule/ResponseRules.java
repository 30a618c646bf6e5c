package org.sageladder.scenario.rule;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.Ledger;

/** Rules on what callers got. */
final class ResponseRules {
  /** Answers that promise that the request has not run and never will. */
  private static final int UNAUTHORIZED = 401;

  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  /** Requests of ours that may be turned down though they are proper. */
  private static final int MAX_DENIED = 5;

  /** Time after the last trouble by which the system serves again. */
  private static final long MAX_RECOVERY_MILLIS = 15_000;

  /** Time after a planned stop began during which requests that outlast it are excused. */
  private static final long EXCUSED_AFTER_STOP_MILLIS = 3_000;

  private static final double MIN_SUCCESS_FRACTION = 0.25;

  private ResponseRules() {}

  static List<String> ranTwice(SimulatedDay day) {
    List<String> broken = new ArrayList<>();
    day.ledger()
        .runs()
        .forEach(
            (id, runs) -> {
              boolean once =
                  day.ledger().attempt(id).map(a -> !a.route().idempotent()).orElse(false);
              if (once && runs.size() > 1) {
                broken.add(id + " ran " + runs.size() + " times");
              }
            });
    return broken;
  }

  static List<String> refusedButRan(SimulatedDay day) {
    List<String> broken = new ArrayList<>();
    for (Ledger.Attempt asked : day.ledger().attempts().values()) {
      int status = day.ledger().answer(asked.id()).map(Ledger.Answered::status).orElse(0);
      if (!asked.route().idempotent()
          && NOT_RUN_STATUSES.contains(status)
          && !day.ledger().runs(asked.id()).isEmpty()) {
        broken.add(asked.id() + " was answered " + status + " and ran");
      }
    }
    return broken;
  }

  static List<String> wrongResponses(SimulatedDay day) {
    List<String> broken = new ArrayList<>();
    for (Ledger.Attempt asked : day.ledger().attempts().values()) {
      day.ledger()
          .answer(asked.id())
          .filter(answer -> answer.status() != 0 && !isCorrect(day, answer))
          .ifPresent(answer -> broken.add(asked.id() + " got " + answer));
    }
    return broken;
  }

  private static boolean isCorrect(SimulatedDay day, Ledger.Answered answer) {
    if (answer.named() != null && !answer.named().equals(answer.id())) {
      return false;
    }
    boolean success = answer.status() >= 200 && answer.status() < 300;
    if (!success && !answer.sealed()) {
      return true;
    }
    return answer.sealed()
        && day.ledger().runs(answer.id()).stream()
            .anyMatch(
                run ->
                    run.status() == answer.status()
                        && (!success || answer.body().equals(run.responseBody())));
  }

  /** Proper requests that every configuration allows, ended by an answer of the system's own. */
  static List<String> deniedRequests(SimulatedDay day) {
    List<String> broken = new ArrayList<>();
    for (Ledger.Attempt asked : day.ledger().attempts().values()) {
      int status = day.ledger().answer(asked.id()).map(Ledger.Answered::status).orElse(0);
      boolean denied = status >= 300 && status < 500 && !NOT_RUN_STATUSES.contains(status);
      if (denied && !(status == UNAUTHORIZED && !KeyRules.isKeyValid(day, asked.id()))) {
        broken.add(asked.id() + " of " + asked.route().name() + " got " + status);
      }
    }
    return broken.size() > MAX_DENIED ? broken : List.of();
  }

  /** A planned stop, and nothing else, is going on: whoever was read gets an answer. */
  static List<String> cutByPlannedStop(SimulatedDay day) {
    List<String> broken = new ArrayList<>();
    for (Ledger.Attempt asked : day.ledger().attempts().values()) {
      day.ledger()
          .answer(asked.id())
          .filter(answer -> answer.status() == 0)
          .filter(answer -> reachedTarget(day, asked.id()))
          .filter(answer -> day.isUndisturbed(asked.sentAtMillis(), answer.at()))
          .filter(answer -> answer.at() - asked.sentAtMillis() < asked.route().timeoutMillis())
          .filter(answer -> !outlastsGracePeriod(day, asked))
          .ifPresent(
              answer -> broken.add(asked.id() + " at " + asked.entryVmIp() + " was cut off"));
    }
    return broken;
  }

  /**
   * True where the VM was being stopped, the request came no later than some seconds after that
   * began, and its target was still at work in the last sixth of the grace time.
   */
  private static boolean outlastsGracePeriod(SimulatedDay day, Ledger.Attempt asked) {
    long lastSixth = day.bounds().graceMillis() * 5 / 6;
    return day.plannedIntervals(asked.entryVmIp()).stream()
        .filter(stop -> asked.sentAtMillis() <= stop.fromMillis() + EXCUSED_AFTER_STOP_MILLIS)
        .anyMatch(
            stop ->
                day.ledger().runs(asked.id()).stream()
                    .anyMatch(
                        run ->
                            run.endedAtMillis() < 0
                                || run.endedAtMillis() >= stop.fromMillis() + lastSixth));
  }

  private static boolean reachedTarget(SimulatedDay day, String id) {
    return !day.ledger().runs(id).isEmpty();
  }

  static List<String> notRecovered(SimulatedDay day) {
    long fromMillis = day.lastTroubleEndMillis() + MAX_RECOVERY_MILLIS;
    if (fromMillis >= day.endMillis()) {
      return List.of();
    }
    double served = day.successFraction(fromMillis);
    return served < MIN_SUCCESS_FRACTION
        ? List.of("only " + served + " are served from " + fromMillis + " on")
        : List.of();
  }
}
