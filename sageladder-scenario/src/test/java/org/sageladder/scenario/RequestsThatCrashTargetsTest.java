package org.sageladder.scenario;

import java.util.Collection;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Guards against requests that go on reaching targets after they have crashed three. */
class RequestsThatCrashTargetsTest {
  private static final int SEED_COUNT = 10;

  @TestFactory
  Collection<DynamicTest> requestFromChangingAddresses() {
    return SeededTroubles.testsForSeeds("request-crashes-targets", Deployment.stamps(), SEED_COUNT);
  }

  @TestFactory
  Collection<DynamicTest> severalRequestsAtOnce() {
    return SeededTroubles.testsForSeeds("requests-crash-targets", Deployment.stamps(), SEED_COUNT);
  }
}
