package org.sageladder.scenario;

import java.util.Collection;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Guards against more requests than a target sustains that started again cold behind a cut. */
class TargetsStartAgainTest {
  private static final String TROUBLE = "targets-start-again";

  @TestFactory
  Collection<DynamicTest> stampsTargetsGetNoMoreThanTheySustain() {
    return days(Deployment.stamps(), 7, 14, 50, 104, 113, 116, 137, 139);
  }

  @TestFactory
  Collection<DynamicTest> archiveTargetsGetNoMoreThanTheySustain() {
    return days(Deployment.archive(), 43, 66);
  }

  @TestFactory
  Collection<DynamicTest> auctionTargetsGetNoMoreThanTheySustain() {
    return days(Deployment.auction(), 115);
  }

  @TestFactory
  Collection<DynamicTest> bookingsTargetsGetNoMoreThanTheySustain() {
    return days(Deployment.bookings(), 160);
  }

  private static List<DynamicTest> days(Deployment deployment, long... seeds) {
    return LongStream.of(seeds)
        .mapToObj(seed -> SeededTroubles.testForSeed(TROUBLE, deployment, seed))
        .toList();
  }
}
