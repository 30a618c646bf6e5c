package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.forward.ForwardingFixture.Caller;

/**
 * The connection of an abandoned request is closed with a reset.
 *
 * <p>A request was sent to a zone while its links were being cut, then answered by another zone.
 * The first zone was evacuated. Seven seconds later its links recovered, and the first copy of the
 * request was delivered and run there. After an ordinary close the kernel keeps retransmitting
 * unacknowledged bytes for as long as the cut lasts.
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
    try (ForwardingFixture fixture = ForwardingFixture.open(silent)) {
      try (Caller caller = fixture.caller()) {
        caller.sendGet("/safe/1", "a");
        assertTrue(silent.firstRequest.await(1, TimeUnit.MINUTES));
      }
      assertReset(silent);
    }
  }

  @Test
  void nonIdempotentRequestOfAClosedCallerIsReset() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    try (ForwardingFixture fixture = ForwardingFixture.open(silent)) {
      try (Caller caller = fixture.caller()) {
        caller.sendPost("/once/1", "a", "bid");
        assertTrue(silent.firstRequest.await(1, TimeUnit.MINUTES));
      }
      assertReset(silent);
    }
  }

  @Test
  void timedOutRequestIsReset() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    try (ForwardingFixture fixture = ForwardingFixture.open(silent);
        Caller caller = fixture.caller()) {
      assertEquals(504, caller.exchange("/hasty/1", "a").status());
      assertReset(silent);
    }
  }

  @Test
  void requestAtARestartedTargetIsReset() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    try (ForwardingFixture fixture = ForwardingFixture.open(silent);
        Caller caller = fixture.caller()) {
      fixture.onLoop(() -> fixture.forwarder.updateTarget(factsOfIncarnation(silent, 1)));
      caller.sendPost("/once/1", "a", "bid");
      assertTrue(silent.firstRequest.await(1, TimeUnit.MINUTES));
      fixture.onLoop(
          () -> fixture.forwarder.updateTarget(factsOfIncarnation(silent, LATER_START_MILLIS)));
      assertReset(silent);
    }
  }

  /** Covers requests that do not finish before a planned shutdown ends. */
  @Test
  void requestInFlightAtShutdownIsReset() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    try (ForwardingFixture fixture = ForwardingFixture.open(silent);
        Caller caller = fixture.caller()) {
      caller.sendPost("/once/1", "a", "bid");
      assertTrue(silent.firstRequest.await(1, TimeUnit.MINUTES));
      fixture.onLoop(fixture.forwarder::abandonAll);
      assertReset(silent);
    }
  }

  /** A connection without a request is closed without a reset. */
  @Test
  void idleConnectionIsClosedWithoutReset() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("done"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      fixture.onLoop(() -> fixture.forwarder.updateTarget(factsOfIncarnation(target, 1)));
      assertEquals("done", caller.exchange("/safe/1", "a").body());
      fixture.onLoop(
          () -> fixture.forwarder.updateTarget(factsOfIncarnation(target, LATER_START_MILLIS)));
      assertEquals("closed", target.connectionEnds.poll(1, TimeUnit.MINUTES));
    }
  }

  private static TargetFacts factsOfIncarnation(ScriptedTarget target, long startedAtMillis) {
    return new TargetFacts(
        new TargetIncarnation("t-1", startedAtMillis),
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
