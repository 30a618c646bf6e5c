package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.forward.ForwardingFixture.Caller;

/**
 * A withdrawn request ends with a reset of its connection.
 *
 * <p>A catalogue request was sent into a zone as its links were cut, then elsewhere, and answered.
 * The zone was emptied meanwhile; seven seconds later the links were back, and the first copy
 * arrived in the emptied zone and was run. An ordinary close leaves what the target has not taken
 * with the kernel, which goes on sending it for as long as the cut lasts.
 */
class AbandonedRequestTest {
  private static final long LATER_START_MILLIS = System.currentTimeMillis() + 3_600_000;

  private static void assertReset(ScriptedTarget target) throws InterruptedException {
    String end = String.valueOf(target.connectionEnds.poll(1, TimeUnit.MINUTES));
    assertTrue(end.contains("reset"), end);
  }

  @Test
  void idempotentRequestOfAClosedCallerIsReset() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    try (ForwardingFixture bed = ForwardingFixture.open(silent)) {
      try (Caller caller = bed.caller()) {
        caller.sendGet("/safe/1", "a");
        assertTrue(silent.firstRequest.await(1, TimeUnit.MINUTES));
      }
      assertReset(silent);
    }
  }

  @Test
  void nonIdempotentRequestOfAClosedCallerIsReset() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    try (ForwardingFixture bed = ForwardingFixture.open(silent)) {
      try (Caller caller = bed.caller()) {
        caller.sendPost("/once/1", "a", "bid");
        assertTrue(silent.firstRequest.await(1, TimeUnit.MINUTES));
      }
      assertReset(silent);
    }
  }

  @Test
  void timedOutRequestIsReset() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    try (ForwardingFixture bed = ForwardingFixture.open(silent);
        Caller caller = bed.caller()) {
      assertEquals(504, caller.exchange("/hasty/1", "a").status());
      assertReset(silent);
    }
  }

  @Test
  void requestAtARestartedTargetIsReset() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    try (ForwardingFixture bed = ForwardingFixture.open(silent);
        Caller caller = bed.caller()) {
      bed.onLoop(() -> bed.forwarder.updateTarget(factsOfStart(silent, 1)));
      caller.sendPost("/once/1", "a", "bid");
      assertTrue(silent.firstRequest.await(1, TimeUnit.MINUTES));
      bed.onLoop(() -> bed.forwarder.updateTarget(factsOfStart(silent, LATER_START_MILLIS)));
      assertReset(silent);
    }
  }

  /** Also the requests that a planned stop has no more time for. */
  @Test
  void requestInFlightAtShutdownIsReset() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    try (ForwardingFixture bed = ForwardingFixture.open(silent);
        Caller caller = bed.caller()) {
      caller.sendPost("/once/1", "a", "bid");
      assertTrue(silent.firstRequest.await(1, TimeUnit.MINUTES));
      bed.onLoop(bed.forwarder::abandonAll);
      assertReset(silent);
    }
  }

  /** A connection without a request is closed in the ordinary way. */
  @Test
  void idleConnectionIsClosedWithoutReset() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("done"));
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      bed.onLoop(() -> bed.forwarder.updateTarget(factsOfStart(target, 1)));
      assertEquals("done", caller.exchange("/safe/1", "a").body());
      bed.onLoop(() -> bed.forwarder.updateTarget(factsOfStart(target, LATER_START_MILLIS)));
      assertEquals("closed", target.connectionEnds.poll(1, TimeUnit.MINUTES));
    }
  }

  private static TargetFacts factsOfStart(ScriptedTarget target, long born) {
    return new TargetFacts(
        new TargetIncarnation("t-1", born),
        0,
        "s",
        "127.0.0.1",
        target.port(),
        "z",
        "r",
        2,
        false,
        0);
  }
}
