package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.PlacementDecision.Send;
import org.sageladder.core.routing.RouteRule;

/** Guards against all objects of a route changing region as a learnt run time passes a price. */
class CrossRegionCostFactorTest {
  private static final int OBJECTS = 2_000;
  private static final int ANSWERS = 60;

  /** Answers of one route that an entry VM of a large deployment gets within a span. */
  private static final int ANSWERS_A_SPAN = 5;

  private static final double MOST_SHIFT = 0.15;
  private static final double FAR_MILLIS = 40;
  private static final double UNKNOWN_RUN_MILLIS = 300;

  private final PlacementFixture fixture = new PlacementFixture().withFour();

  @Test
  void objectsChangeRegionOneAfterTheOtherWhileRunTimesAreLearnt() {
    fixture.distances.recordConnect("s1", FAR_MILLIS);
    fixture.distances.recordConnect("s2", FAR_MILLIS);
    RouteRule route = PlacementFixture.route(Set.of());
    double first = shareInSouth();
    double before = first;
    for (int i = 0; i < ANSWERS; i++) {
      fixture.runTimes.recordRun("search", route, false, UNKNOWN_RUN_MILLIS, i);
      double after = shareInSouth();
      double changed = Math.abs(after - before);
      assertTrue(changed <= MOST_SHIFT / ANSWERS_A_SPAN, changed + " after answer " + i);
      before = after;
    }
    assertTrue(first - before > MOST_SHIFT, "from " + first + " to " + before);
  }

  @Test
  void theMeanPriceIsOne() {
    double mean =
        LongStream.range(0, OBJECTS).mapToDouble(CrossRegionCostFactor::of).average().orElse(0);
    assertEquals(1, mean, 0.02);
  }

  private double shareInSouth() {
    List<Long> objects = LongStream.range(0, OBJECTS).boxed().toList();
    long south =
        objects.stream()
            .map(object -> (Send) fixture.place(object, Set.of(), Set.of()))
            .filter(send -> send.target().facts().region().equals("south"))
            .count();
    return (double) south / OBJECTS;
  }
}
