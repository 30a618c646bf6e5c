package org.sageladder.scenario.rule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.Arrival;
import org.sageladder.standin.platform.Ledger.BackOffAnswer;
import org.sageladder.standin.platform.Ledger.DrainingAnswer;
import org.sageladder.standin.platform.Ledger.RateLimitPeriod;

/** Rules on what targets state about themselves in their answers. */
final class SignalRules {
  private static final long RATE_WINDOW_MILLIS = 4_000;
  private static final double RATE_FACTOR = 1.5;
  private static final int EXTRA_REQUESTS = 5;

  /** Requests that are already on their way when the VM gets an answer do not count. */
  private static final long ON_THE_WAY_MILLIS = 500;

  private static final int MAX_REQUESTS_DURING_BACK_OFF = 2;

  private SignalRules() {}

  /** Targets that got more requests than the rate that they had stated to the senders allows. */
  static List<String> exceededTargetRates(SimulatedDay day) {
    List<String> violations = new ArrayList<>();
    for (RateLimitPeriod period : day.ledger().rateLimitPeriods()) {
      checkPeriod(day, period, violations);
    }
    return violations;
  }

  private static void checkPeriod(
      SimulatedDay day, RateLimitPeriod period, List<String> violations) {
    Map<String, Long> passedOnAtMillis = passedOnAtMillis(day, period);
    double bound =
        RATE_FACTOR * period.requestsPerSecond() * RATE_WINDOW_MILLIS / 1_000 + EXTRA_REQUESTS;
    long checkedFromMillis = period.fromMillis() + day.bounds().discoveryMillis();
    Deque<Long> inWindow = new ArrayDeque<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      if (!countsFor(day, period, passedOnAtMillis.get(arrival.from()), arrival)) {
        continue;
      }
      inWindow.addLast(arrival.at());
      while (inWindow.peekFirst() <= arrival.at() - RATE_WINDOW_MILLIS) {
        inWindow.removeFirst();
      }
      if (arrival.at() >= checkedFromMillis && inWindow.size() > bound) {
        violations.add(
            period.target()
                + " accepts "
                + period.requestsPerSecond()
                + " requests/s and received "
                + inWindow.size()
                + " in the window to "
                + arrival.at());
      }
    }
  }

  /** When each entry VM first passed an answer with the stated rate on to a caller. */
  private static Map<String, Long> passedOnAtMillis(SimulatedDay day, RateLimitPeriod period) {
    Map<String, Long> first = new HashMap<>();
    period
        .answeredIds()
        .forEach(
            (vm, ids) ->
                ids.stream()
                    .flatMap(id -> passedOnAtMillis(day, id).stream())
                    .min(Long::compare)
                    .ifPresent(at -> first.put(vm, at)));
    return first;
  }

  private static boolean countsFor(
      SimulatedDay day, RateLimitPeriod period, @Nullable Long passedOnAtMillis, Arrival arrival) {
    return arrival.target().equals(period.target())
        && passedOnAtMillis != null
        && arrival.at() >= passedOnAtMillis + ON_THE_WAY_MILLIS
        && arrival.at() < period.toMillis()
        && !day.wasDisturbed(arrival.from(), passedOnAtMillis, arrival.at());
  }

  /**
   * Requests at targets that had stated to the sender that they are draining, sent by their callers
   * after the drain time from then on. Counts whether or not the store has the drain.
   */
  static List<String> afterDrainingAnswer(SimulatedDay day) {
    Map<TargetAndVm, Long> passedOnAtMillis = new HashMap<>();
    for (DrainingAnswer answer : day.ledger().drainingAnswers()) {
      passedOnAtMillis(day, answer.requestId())
          .ifPresent(
              at ->
                  passedOnAtMillis.merge(
                      new TargetAndVm(answer.target(), answer.vm()), at, Math::min));
    }
    List<String> violations = new ArrayList<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      Long atMillis = passedOnAtMillis.get(new TargetAndVm(arrival.target(), arrival.from()));
      boolean isSentLate =
          atMillis != null
              && day.ledger()
                  .attempt(arrival.id())
                  .filter(sent -> sent.sentAtMillis() > atMillis + day.bounds().drainMillis())
                  .isPresent();
      if (isSentLate && !day.wasDisturbed(arrival.from(), atMillis, arrival.at())) {
        violations.add(arrival + ", whose sender knew of the drain at " + atMillis);
      }
    }
    return violations;
  }

  /**
   * Targets that got requests from an entry VM in the time for which they had asked it for none.
   */
  static List<String> duringBackOff(SimulatedDay day) {
    Map<TargetAndVm, List<Long>> arrivalTimes = new HashMap<>();
    for (Arrival arrival : day.ledger().arrivals()) {
      arrivalTimes
          .computeIfAbsent(
              new TargetAndVm(arrival.target(), arrival.from()), key -> new ArrayList<>())
          .add(arrival.at());
    }
    List<String> violations = new ArrayList<>();
    for (BackOffAnswer answer : day.ledger().backOffAnswers()) {
      long toMillis = answer.atMillis() + answer.millis();
      long count =
          arrivalTimes
              .getOrDefault(new TargetAndVm(answer.target(), answer.vm()), List.of())
              .stream()
              .filter(at -> at >= answer.atMillis() + ON_THE_WAY_MILLIS && at < toMillis)
              .count();
      if (count > MAX_REQUESTS_DURING_BACK_OFF
          && !day.wasDisturbed(answer.vm(), answer.atMillis(), toMillis)) {
        violations.add(answer + ", then received " + count + " requests from it in that time");
      }
    }
    return violations;
  }

  private record TargetAndVm(String target, String vm) {}

  /** When a caller got the target's answer to the request, or empty if it did not. */
  private static Optional<Long> passedOnAtMillis(SimulatedDay day, String requestId) {
    return day.ledger().answer(requestId).filter(Ledger.Answered::sealed).map(Ledger.Answered::at);
  }
}
