package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sageladder.core.routing.RouteRule;

/** Tests the estimates of run times. */
class RunTimesTest {
  private final RunTimes runTimes = RunTimes.create(() -> 0);
  private final RouteRule route = PlacementFixture.route(Set.of());

  /** A route that is removed and added again years later starts without measurements. */
  @Test
  void removedRouteIsDiscarded() {
    runTimes.recordRun("search", route, true, 150, 0);
    runTimes.retainRoutes(Set.of("r"));
    assertEquals(1, runTimes.measuredRunCount("search", route, true));
    runTimes.retainRoutes(Set.of("another"));
    assertEquals(0, runTimes.measuredRunCount("search", route, true));
  }

  /**
   * Behind a queue that never drains no run meets a free slot; its time must be measured all the
   * same.
   */
  @Test
  void queuedRunsAreMeasured() {
    assertEquals(OptionalDouble.empty(), runTimes.estimateFromMeasured("search", route, true, 2));
    runTimes.recordQueuedRun("search", route, true, 140);
    runTimes.recordQueuedRun("search", route, true, 160);
    assertEquals(OptionalDouble.of(150), runTimes.estimateFromMeasured("search", route, true, 2));
    runTimes.recordRun("search", route, true, 200, 0);
    runTimes.recordRun("search", route, true, 200, 0);
    assertEquals(OptionalDouble.of(200), runTimes.estimateFromMeasured("search", route, true, 2));
  }

  /** Guards against all entry VMs leaving their common default estimate within the same second. */
  @Test
  void estimateChangesNoFasterThanSettleTime() {
    RunTimes settling = RunTimes.create(() -> 10_000);
    double guess = settling.estimateMillis("search", route, false);
    for (long now = 0; now < 2_000; now += 20) {
      runTimes.recordRun("search", route, false, guess / 2, now);
      settling.recordRun("search", route, false, guess / 2, now);
    }
    assertEquals(guess / 2, runTimes.estimateMillis("search", route, false), 0.05 * guess);
    double settled = guess / 2 * (1 + Math.exp(-0.2));
    assertEquals(settled, settling.estimateMillis("search", route, false), 0.05 * guess);
    assertEquals(guess / 2, settling.measuredMillis("search", route, false), 1);
  }
}
