package org.sageladder.scenario;

import java.util.Collection;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.sageladder.scenario.trouble.Troubles;

/** Guards against followers that believe a disturbed reader which a stale read has confirmed. */
class ReaderTroublesBesideStaleReadsTest {
  private static final int SEED_COUNT = 10;

  @TestFactory
  Collection<DynamicTest> noRuleIsViolated() {
    return Troubles.readerTroublesBesideStaleReads().keySet().stream()
        .flatMap(
            trouble ->
                SeededTroubles.testsForSeeds(trouble, Deployment.relayed(), SEED_COUNT).stream())
        .toList();
  }
}
