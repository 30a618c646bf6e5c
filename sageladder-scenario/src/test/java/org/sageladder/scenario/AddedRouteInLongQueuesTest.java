package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.scenario.Fleet.LogSource;

/**
 * Adds a route, whose callers have a deadline of one second, to an archive at 2.4 times its usual
 * load.
 *
 * <p>Each of the 22 targets has ten queued requests, which run in order of arrival. Requests on the
 * initial routes take 2.1 and 2.7 s on average, and at least 0.98 s; they are served because their
 * deadlines are 4 s and more. Requests on the new route cannot be served by any target within their
 * deadline, since queues of this length serve only requests with long deadlines.
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
