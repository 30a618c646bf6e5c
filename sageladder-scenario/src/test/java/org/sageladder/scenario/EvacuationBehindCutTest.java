package org.sageladder.scenario;

import java.util.Collection;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against abandoned requests that still arrive in an evacuated zone. A network cut blocks
 * everything sent into the zone, and the operator evacuates it half a second later.
 *
 * <p>Requests sent to the zone meanwhile were abandoned after three seconds and ran in another
 * zone. Twelve seconds after they were sent, long after the cut had ended, they arrived in the
 * evacuated zone and ran there: after an ordinary close, the kernels of the entry VMs went on
 * retransmitting the buffered data.
 */
class EvacuationBehindCutTest {
  private static final int SEED_COUNT = 3;

  @TestFactory
  Collection<DynamicTest> abandonedRequestsDoNotArriveLater() {
    return SeededTroubles.testsForSeeds(
        "zone-emptied-behind-a-cut", Deployment.stamps(), SEED_COUNT);
  }
}
