package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.IntUnaryOperator;
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

  /** Objects with an even number are asked for with the highest priority, the others with a low one. */
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

  public static void main(String[] a) {
    for (double f : new double[] {0.7, 1.0, 1.3, 1.8}) {
      for (boolean r : new boolean[] {false, true}) {
        History h = TargetModel.simulate(new Policy(r), s -> (int) (f * CAPACITY_PER_SECOND), SECONDS, TIMEOUT_MILLIS, 1);
        System.out.print(f + " " + r);
        for (int k = 0; k < 3; k++) {
          int kk = k;
          List<Ended> e = h.ended().stream().filter(x -> kk == 2 || (x.object() % 2 == kk)).toList();
          System.out.printf("  [%d] in %.3f late %.3f ref %.3f to %.3f", k, TargetModel.fraction(e, End.IN_GOAL), TargetModel.fraction(e, End.LATE), TargetModel.fraction(e, End.REFUSED), TargetModel.fraction(e, End.TIMED_OUT));
        }
        System.out.println();
      }
    }
    for (boolean r : new boolean[] {false, true}) {
      History h = TargetModel.simulate(new Policy(r), s -> (int) ((s >= 10 && s < 14 ? 1.8 : 0.7) * CAPACITY_PER_SECOND), SECONDS, TIMEOUT_MILLIS, 1);
      System.out.print("burst " + r);
      for (int s = 5; s < 24; s++) {
        int ss = s;
        List<Ended> e = h.ended().stream().filter(x -> x.arrivedAtMillis() / 1000 == ss).toList();
        System.out.printf(" %d:%.2f/%.2f", s, TargetModel.fraction(e, End.IN_GOAL), TargetModel.fraction(e, End.IN_GOAL) + TargetModel.fraction(e, End.LATE));
      }
      System.out.println();
    }
  }
}
