package org.sageladder.forward.control;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.sageladder.core.time.VirtualTime;
import org.sageladder.forward.Loop;

/** Which failed calls count as an outage in which leases may have lapsed. */
class StoreOutageDetectorTest {
  private final VirtualTime time = VirtualTime.startingAt(0);
  private final StoreOutageDetector outages =
      new StoreOutageDetector(
          Loop.on(new EmbeddedChannel().eventLoop(), time, new NoNetwork(), Runnable::run));

  @Test
  void outageLastsFromTheSecondFailureUntilTheAnswerAndIsRememberedFromThere() {
    outages.recordUnansweredCall();
    assertFalse(outages.wasOutageWithin(60_000));
    outages.recordUnansweredCall();
    time.advance(Duration.ofSeconds(10));
    assertTrue(outages.wasOutageWithin(0));
    outages.recordAnswer();
    time.advance(Duration.ofSeconds(2));
    assertTrue(outages.wasOutageWithin(2_001));
    assertFalse(outages.wasOutageWithin(2_000));
  }

  /** Guards against single failures of a calm hour that add up to an outage. */
  @Test
  void failuresWithAnAnswerInBetweenAreNoOutage() {
    for (int i = 0; i < 10; i++) {
      outages.recordUnansweredCall();
      outages.recordFailures(1);
      outages.recordAnswer();
    }
    assertFalse(outages.wasOutageWithin(60_000));
  }
}
