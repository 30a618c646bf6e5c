package org.sageladder.scenario;

import java.util.Collection;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Guards against requests at a target that refused one and asked the VM for none for a time. */
class BackOffAnswerTest {
  private static final int SEED_COUNT = 4;
  private static final String TROUBLE = "targets-back-off";

  @TestFactory
  Collection<DynamicTest> stampsTargetsGetNoRequestsForTheTimeTheyAskedFor() {
    return SeededTroubles.testsForSeeds(TROUBLE, Deployment.stamps(), SEED_COUNT);
  }

  @TestFactory
  Collection<DynamicTest> archiveTargetsGetNoRequestsForTheTimeTheyAskedFor() {
    return SeededTroubles.testsForSeeds(TROUBLE, Deployment.archive(), SEED_COUNT);
  }
}
