package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Collection;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.sageladder.scenario.Fleet.LogSource;

/**
 * Nothing gets into a zone any more, and the operator empties it half a second later.
 *
 * <p>Requests that were sent there meanwhile are withdrawn after three seconds and run elsewhere.
 * Twelve seconds after they were sent, long after the links are back, they arrived in the emptied
 * zone and were run: the kernels of the entry VMs had gone on sending what an ordinary close left
 * with them.
 */
class EmptiedBehindACutTest {
  private static final int SEEDS = 3;

  @TestFactory
  Collection<DynamicTest> nothingThatWasWithdrawnArrivesLater() {
    return LongStream.rangeClosed(1, SEEDS)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed,
                    () ->
                        assertEquals(
                            List.of(),
                            Scenario.of(seed, "zone-emptied-behind-a-cut")
                                .play(Deployment.stamps(), LogSource.none())
                                .broken())))
        .toList();
  }
}
