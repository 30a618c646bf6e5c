package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sageladder.core.routing.RouteRule;

/** What is known of the runs of routes. */
class RunTimesTest {
  private final RunTimes runTimes = RunTimes.create();
  private final RouteRule route = PlacingFixture.route(Set.of());

  /** A route that is removed and added again years later starts with nothing known. */
  @Test
  void aRemovedRouteIsForgotten() {
    runTimes.ran("search", route, true, 150);
    runTimes.retain(Set.of("r"));
    assertEquals(1, runTimes.measured("search", route, true));
    runTimes.retain(Set.of("another"));
    assertEquals(0, runTimes.measured("search", route, true));
  }

  /** In a queue that never empties no run is met with a free slot, yet its time can be told. */
  @Test
  void runsBehindQueuesAreMeasuredToo() {
    assertEquals(OptionalDouble.empty(), runTimes.fromMeasured("search", route, true, 2));
    runTimes.ranBehind("search", route, true, 140);
    runTimes.ranBehind("search", route, true, 160);
    assertEquals(OptionalDouble.of(150), runTimes.fromMeasured("search", route, true, 2));
    runTimes.ran("search", route, true, 200);
    runTimes.ran("search", route, true, 200);
    assertEquals(OptionalDouble.of(200), runTimes.fromMeasured("search", route, true, 2));
  }
}
