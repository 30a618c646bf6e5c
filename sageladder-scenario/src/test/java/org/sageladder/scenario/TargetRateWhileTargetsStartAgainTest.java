package org.sageladder.scenario;

import org.junit.jupiter.api.Test;

/** Guards against a target that starts again cold and gets more than it sustains. */
class TargetRateWhileTargetsStartAgainTest {
  static final Scenario DAY = TargetRateTest.during(5, "targets-start-again");

  @Test
  void targetsThatStartAgainBehindACutGetNoMoreThanTheySustain() {
    TargetRateTest.assertRulesHold(DAY);
  }
}
