package org.sageladder.scenario;

import java.util.Collection;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Guards against new requests at a target that said in its answers that it is draining. */
class DrainingAnswerTest {
  private static final int SEED_COUNT = 4;
  private static final String TROUBLE = "targets-drain-without-store";

  @TestFactory
  Collection<DynamicTest> stampsTargetsThatSaidThatTheyDrainGetNoNewRequests() {
    return SeededTroubles.testsForSeeds(TROUBLE, Deployment.stamps(), SEED_COUNT);
  }

  @TestFactory
  Collection<DynamicTest> archiveTargetsThatSaidThatTheyDrainGetNoNewRequests() {
    return SeededTroubles.testsForSeeds(TROUBLE, Deployment.archive(), SEED_COUNT);
  }
}
