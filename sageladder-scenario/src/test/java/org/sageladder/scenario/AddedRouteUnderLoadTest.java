package org.sageladder.scenario;

import java.util.Collection;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * A route is added in a busy hour of the Guild; its callers have a second and its runs take 5 ms.
 *
 * <p>Of 166 requests on it 24 were served, of 9,452 on the first routes 7,538: each entry VM
 * refused it at once, since it took the queues for as long as if they held requests with the
 * guessed run of the new route. Nothing was sent, so the guess stayed.
 */
class AddedRouteUnderLoadTest {
  private static final int SEED_COUNT = 3;

  @TestFactory
  Collection<DynamicTest> routeAddedUnderLoadIsServed() {
    return SeededTroubles.testsForSeeds("route-added", Deployment.bookings(), SEED_COUNT);
  }
}
