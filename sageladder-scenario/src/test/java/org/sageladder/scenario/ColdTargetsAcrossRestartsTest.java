package org.sageladder.scenario;

import java.util.Collection;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Guards against restarted entry VMs that send their share of a cold target's rate once more. */
class ColdTargetsAcrossRestartsTest {
  @TestFactory
  Collection<DynamicTest> receiveNoMoreThanTheySustain() {
    return LongStream.of(7, 10, 21)
        .mapToObj(
            seed ->
                SeededTroubles.testForSeed("crashes-and-all-killed", Deployment.listing(), seed))
        .toList();
  }
}
