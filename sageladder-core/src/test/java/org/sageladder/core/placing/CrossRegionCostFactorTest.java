package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.PlacementDecision.Send;
import org.sageladder.core.routing.RouteRule;

/**
 * Guards against all objects of a route changing region at once when a learned run time passes the
 * cost of another region.
 */
class CrossRegionCostFactorTest {
  private static final int OBJECT_COUNT = 2_000;
  private static final int ANSWER_COUNT = 60;

  /** Answers of one route that an entry VM of a large deployment gets within a span. */
  private static final int ANSWERS_PER_SPAN = 5;

  private static final double MAX_SHIFT_FRACTION = 0.15;
  private static final double CROSS_REGION_ROUND_TRIP_MILLIS = 40;
  private static final double COLD_RUN_MILLIS = 300;

  private final PlacementFixture fixture = new PlacementFixture().withFourTargets();

  @Test
  void objectsChangeRegionGraduallyWhileRunTimesAreLearned() {
    fixture.roundTripTimes.recordConnect("s1", CROSS_REGION_ROUND_TRIP_MILLIS);
    fixture.roundTripTimes.recordConnect("s2", CROSS_REGION_ROUND_TRIP_MILLIS);
    RouteRule route = PlacementFixture.route(Set.of());
    double first = shareInSouth();
    double before = first;
    for (int i = 0; i < ANSWER_COUNT; i++) {
      fixture.runTimes.recordRun("search", route, false, COLD_RUN_MILLIS, i);
      double after = shareInSouth();
      double changed = Math.abs(after - before);
      assertTrue(changed <= MAX_SHIFT_FRACTION / ANSWERS_PER_SPAN, changed + " after answer " + i);
      before = after;
    }
    assertTrue(first - before > MAX_SHIFT_FRACTION, "from " + first + " to " + before);
  }

  @Test
  void meanFactorIsOne() {
    double mean =
        LongStream.range(0, OBJECT_COUNT)
            .mapToDouble(CrossRegionCostFactor::of)
            .average()
            .orElse(0);
    assertEquals(1, mean, 0.02);
  }

  private double shareInSouth() {
    List<Long> objects = LongStream.range(0, OBJECT_COUNT).boxed().toList();
    long south =
        objects.stream()
            .map(object -> (Send) fixture.place(object, Set.of(), Set.of()))
            .filter(send -> send.target().facts().region().equals("south"))
            .count();
    return (double) south / OBJECT_COUNT;
  }
}
