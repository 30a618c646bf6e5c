package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.scenario.Fleet.LogSource;

/**
 * A route is added to an archive that has 2.4 times its usual load; its callers have a second.
 *
 * <p>Each of the 22 targets has ten requests waiting, which run first come, first served: the first
 * routes' requests take 2.1 and 2.7 s on average, none less than 0.98 s. They have 4 s and more and
 * are served; those of the new route cannot be, wherever they go. Long queues serve only those who
 * can wait long.
 */
class AddedRouteInLongQueuesTest {
  private static final double RATE_FACTOR = 1.6;

  @Test
  void aRouteWithLittleTimeIsServedThoughTheQueuesAreLong() {
    assertEquals(
        List.of(),
        Scenario.of(1, "route-added")
            .run(Deployment.stamps().withRateFactor(RATE_FACTOR), LogSource.none())
            .violations());
  }
}
