package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.TargetModel.End;
import org.sageladder.core.placing.TargetModel.Ended;
import org.sageladder.core.placing.TargetModel.History;
import org.sageladder.core.routing.RouteRule;

/** Compares what callers get with and without refusals under overload. */
class OverloadUnderLoadTest {
  /** Requests per second that all slots together can run, nearly all of them warm. */
  private static final int CAPACITY_PER_SECOND = 175;

  private static final int SECONDS = 30;
  private static final long TIMEOUT_MILLIS = 2_000;

  /**
   * Objects with an even number are asked for with the highest priority, the others with a low one.
   */
  private static class Policy extends PlacementUnderLoadTest.PlacementPolicy {
    private final Random random = new Random(7);
    private final boolean refusesUnderOverload;
    private long retryAfterMillis;

    Policy(boolean refusesUnderOverload) {
      super(TIMEOUT_MILLIS);
      this.refusesUnderOverload = refusesUnderOverload;
    }

    @Override
    RouteRule route(long object) {
      RouteRule route = PlacementFixture.route(Set.of());
      return new RouteRule(
          isUrgent(object) ? "urgent" : "usual",
          route.host(),
          route.prefix(),
          route.idempotent(),
          route.timeoutMillis(),
          route.latencyGoalMillis(),
          isUrgent(object) ? 0 : 2,
          route.services(),
          route.maxTargets(),
          route.hasObjectAffinity(),
          route.regions(),
          route.anonymous());
    }

    @Override
    PlacementDecision.@Nullable Send overrideRefusal(PlacementDecision.Refuse refusal) {
      PlacementDecision.CandidateEstimate candidate = refusal.bestCandidate();
      if (!refusesUnderOverload
          && refusal.reason() == PlacementDecision.Reason.OVERLOAD
          && candidate != null) {
        return candidate.send();
      }
      double jittered = refusal.retryAfterMillis() * (0.75 + random.nextDouble());
      retryAfterMillis = Math.round(Math.min(jittered, TIMEOUT_MILLIS / 3.0));
      return null;
    }

    @Override
    public long retryAfterMillis() {
      return retryAfterMillis;
    }
  }

  private static boolean isUrgent(long object) {
    return object % 2 == 0;
  }

  private static History simulate(boolean refusesUnderOverload, IntUnaryOperator percentOfSlots) {
    return TargetModel.simulate(
        new Policy(refusesUnderOverload),
        second -> CAPACITY_PER_SECOND * percentOfSlots.applyAsInt(second) / 100,
        SECONDS,
        TIMEOUT_MILLIS,
        1);
  }

  private static double inGoal(List<Ended> requests) {
    return TargetModel.fraction(requests, End.IN_GOAL);
  }

  private static double served(List<Ended> requests) {
    return inGoal(requests) + TargetModel.fraction(requests, End.LATE);
  }

  private static List<Ended> matching(History history, Predicate<Ended> condition) {
    return history.ended().stream().filter(condition).toList();
  }

  /** Guards against full queues in which all requests are served, and all of them late. */
  @Test
  void moreEndInTimeThanInFullQueues() {
    for (int percent : new int[] {70, 100, 130, 180}) {
      History refusing = simulate(true, second -> percent);
      History queueing = simulate(false, second -> percent);
      double gain = inGoal(refusing.ended()) - inGoal(queueing.ended());
      double loss = served(queueing.ended()) - served(refusing.ended());
      String figures = percent + " %: in time " + gain + " more, served " + loss + " less";
      assertTrue(gain >= (percent > 70 ? 0.15 : 0), figures);
      assertTrue(loss <= 0.08, figures);
    }
  }

  /** Guards against starvation of low priorities, and against low ones served before high ones. */
  @Test
  void lowPriorityGivesWayAndDoesNotStarve() {
    for (int percent : new int[] {70, 100, 130, 180}) {
      History history = simulate(true, second -> percent);
      double urgent = served(matching(history, ended -> isUrgent(ended.object())));
      double usual = served(matching(history, ended -> !isUrgent(ended.object())));
      String figures = percent + " %: " + urgent + ", " + usual;
      assertTrue(usual <= urgent, figures);
      assertTrue(usual >= 0.4 * served(history.ended()), figures);
    }
  }

  /** Guards against refusals that outlast a burst, and against queues left by it. */
  @Test
  void recoversWithinTwoSecondsOfABurst() {
    IntUnaryOperator burst = second -> second >= 10 && second < 14 ? 180 : 70;
    History history = simulate(true, burst);
    for (int second = 16; second < SECONDS; second++) {
      long from = second * 1_000L;
      List<Ended> arrived =
          matching(
              history,
              ended -> ended.arrivedAtMillis() >= from && ended.arrivedAtMillis() < from + 1_000);
      assertTrue(served(arrived) >= 0.97, "second " + second + ": " + served(arrived));
      assertTrue(inGoal(arrived) >= 0.8, "second " + second + ": " + inGoal(arrived));
    }
  }

  /** Guards against callers that were refused together and return together. */
  @Test
  void refusedCallersReturnSpreadOverTime() {
    List<Long> returns = simulate(true, second -> 180).returnsAtMillis();
    Map<Long, Long> countByTenth =
        returns.stream().collect(Collectors.groupingBy(at -> at / 100, Collectors.counting()));
    double mean = (double) returns.size() / countByTenth.size();
    long most = countByTenth.values().stream().max(Long::compare).orElse(0L);
    assertTrue(most <= 3 * mean, "most in 0.1 s " + most + ", mean " + mean);
  }
}
