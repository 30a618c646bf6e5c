package org.sageladder.scenario;

import java.util.Collection;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Nothing gets into a zone any more, and the operator empties it half a second later.
 *
 * <p>Requests that were sent there meanwhile were withdrawn after three seconds and ran elsewhere.
 * Twelve seconds after they were sent, long after the links are back, they arrived in the emptied
 * zone and were run: the kernels of the entry VMs had gone on sending what an ordinary close left
 * with them.
 */
class EvacuationBehindCutTest {
  private static final int SEED_COUNT = 3;

  @TestFactory
  Collection<DynamicTest> abandonedRequestsDoNotArriveLater() {
    return SeededTroubles.testsForSeeds(
        "zone-emptied-behind-a-cut", Deployment.stamps(), SEED_COUNT);
  }
}
