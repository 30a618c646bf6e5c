package org.sageladder.scenario;

import java.util.Collection;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Guards against runs without part of a body, as entry VMs pass requests on and refuse them. */
class LargeBodiesTest {
  private static final int SEED_COUNT = 3;

  @TestFactory
  Collection<DynamicTest> beyondASilentCut() {
    return SeededTroubles.testsForSeeds("large-bodies-silent", Deployment.stamps(), SEED_COUNT);
  }

  @TestFactory
  Collection<DynamicTest> beyondACutThatRefuses() {
    return SeededTroubles.testsForSeeds("large-bodies-refused", Deployment.stamps(), SEED_COUNT);
  }
}
