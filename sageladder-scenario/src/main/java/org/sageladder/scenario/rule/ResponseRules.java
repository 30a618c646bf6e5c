package org.sageladder.scenario.rule;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.Ledger;

/** Rules on the responses that callers received. */
final class ResponseRules {
  /** Status codes that guarantee that the request has not run and never will. */
  static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  /** Time after the last trouble within which the system must serve requests again. */
  private static final long MAX_RECOVERY_MILLIS = 15_000;

  private static final int FAILED = 500;
  private static final double MIN_SUCCESS_FRACTION = 0.25;

  private ResponseRules() {}

  static List<String> ranTwice(SimulatedDay day) {
    List<String> violations = new ArrayList<>();
    day.ledger()
        .runs()
        .forEach(
            (id, runs) -> {
              boolean mustNotRepeat =
                  day.ledger().attempt(id).map(a -> !a.route().idempotent()).orElse(false);
              if (mustNotRepeat && runs.size() > 1) {
                violations.add(id + " ran " + runs.size() + " times");
              }
            });
    return violations;
  }

  static List<String> refusedButRan(SimulatedDay day) {
    List<String> violations = new ArrayList<>();
    for (Ledger.Attempt attempt : day.ledger().attempts().values()) {
      int status = day.ledger().answer(attempt.id()).map(Ledger.Answered::status).orElse(0);
      if (!attempt.route().idempotent()
          && NOT_RUN_STATUSES.contains(status)
          && !day.ledger().runs(attempt.id()).isEmpty()) {
        violations.add(attempt.id() + " was answered " + status + " and ran");
      }
    }
    return violations;
  }

  static List<String> wrongResponses(SimulatedDay day) {
    List<String> violations = new ArrayList<>();
    for (Ledger.Attempt attempt : day.ledger().attempts().values()) {
      day.ledger()
          .answer(attempt.id())
          .filter(answer -> answer.status() != 0 && !isCorrect(day, answer))
          .ifPresent(answer -> violations.add(attempt.id() + " received " + answer));
    }
    day.ledger()
        .malformedAnswers()
        .forEach(
            (id, cause) -> violations.add(id + " received bytes that are no answer: " + cause));
    return violations;
  }

  /** Status, id, seal and body must be those of one run; only targets seal, or answer 500. */
  private static boolean isCorrect(SimulatedDay day, Ledger.Answered answer) {
    if (answer.named() != null && !answer.named().equals(answer.id())) {
      return false;
    }
    boolean success = answer.status() >= 200 && answer.status() < 300;
    if (!success && !answer.sealed()) {
      return answer.status() != FAILED;
    }
    return answer.sealed()
        && answer.named() != null
        && day.ledger().runs(answer.id()).stream()
            .anyMatch(
                run -> run.status() == answer.status() && answer.body().equals(run.responseBody()));
  }

  static List<String> notRecovered(SimulatedDay day) {
    long fromMillis = day.lastTroubleEndMillis() + MAX_RECOVERY_MILLIS;
    if (fromMillis >= day.endMillis()) {
      return List.of();
    }
    double successFraction = day.successFraction(fromMillis);
    return successFraction < MIN_SUCCESS_FRACTION
        ? List.of(
            "only a fraction of " + successFraction + " succeeded from " + fromMillis + " ms on")
        : List.of();
  }
}
