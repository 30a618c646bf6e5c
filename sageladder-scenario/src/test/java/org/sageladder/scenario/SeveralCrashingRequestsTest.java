package org.sageladder.scenario;

import java.util.Collection;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Guards against requests that crash targets for as long as there are several of them. */
class SeveralCrashingRequestsTest {
  private static final int SEED_COUNT = 10;

  @TestFactory
  Collection<DynamicTest> areHeldBack() {
    return SeededTroubles.testsForSeeds("requests-crash-targets", Deployment.stamps(), SEED_COUNT);
  }
}
