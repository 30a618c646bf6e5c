package org.sageladder.scenario;

import java.util.Collection;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Guards against a request that crashes targets for as long as it comes from new addresses. */
class CrashingRequestFromChangingAddressesTest {
  private static final int SEED_COUNT = 10;

  @TestFactory
  Collection<DynamicTest> isHeldBack() {
    return SeededTroubles.testsForSeeds("request-crashes-targets", Deployment.stamps(), SEED_COUNT);
  }
}
