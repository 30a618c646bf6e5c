package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.forward.ForwardingFixture.Caller;

/**
 * A target restarts under the same id: connections and requests at its previous incarnation end.
 */
class TargetRestartTest {
  private static final long HOUR_MILLIS = 3_600_000;

  private static TargetFacts facts(ScriptedTarget target, long startedAtMillis) {
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

  private static void updateTarget(
      ForwardingFixture fixture, ScriptedTarget target, long startedAtMillis) throws Exception {
    fixture.onLoop(() -> fixture.forwarder.updateTarget(facts(target, startedAtMillis)));
  }

  /**
   * The target crashed behind a network partition: no reset arrived, and its idle connection looks
   * usable. A request sent on it would be lost with an unknown outcome.
   */
  @Test
  void connectionsToThePreviousIncarnationAreNotReused() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("done"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      updateTarget(fixture, target, 1);
      assertEquals("done", caller.exchange("/safe/1", "a").body());
      updateTarget(fixture, target, 2);
      assertNotNull(target.connectionEnds.poll(1, TimeUnit.MINUTES));
      assertEquals("done", caller.exchange("/safe/2", "b").body());
      assertEquals(1, target.receivedRequests.get(1).indexOnConnection());
    }
  }

  /**
   * An idempotent request is in flight at a target that ended behind a network partition. Its
   * connection stays open and silent, so that the caller would wait until the deadline if the
   * restart were ignored.
   */
  @Test
  void idempotentRequestAtThePreviousIncarnationIsRetriedAtAnotherTarget() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    ScriptedTarget other = ScriptedTarget.of(request -> request.respond("found"));
    try (ForwardingFixture fixture = ForwardingFixture.open(silent);
        Caller caller = fixture.caller()) {
      updateTarget(fixture, silent, 1);
      caller.sendGet("/safe/1", "a");
      assertEquals(true, silent.firstRequest.await(1, TimeUnit.MINUTES));
      fixture.addTarget(other);
      updateTarget(fixture, silent, System.currentTimeMillis() + HOUR_MILLIS);
      assertEquals("found", caller.readResponse().body());
    }
  }

  /**
   * A non-idempotent request is in flight at a target that has restarted. The previous incarnation
   * may have run it, so it is neither retried nor reported as "not run", and the caller is answered
   * immediately.
   */
  @Test
  void nonIdempotentRequestAtThePreviousIncarnationHasUnknownOutcome() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    ScriptedTarget other = ScriptedTarget.of(request -> request.respond("won"));
    try (ForwardingFixture fixture = ForwardingFixture.open(silent);
        Caller caller = fixture.caller()) {
      updateTarget(fixture, silent, 1);
      caller.sendPost("/once/1", "a", "bid");
      assertEquals(true, silent.firstRequest.await(1, TimeUnit.MINUTES));
      fixture.addTarget(other);
      updateTarget(fixture, silent, System.currentTimeMillis() + HOUR_MILLIS);
      assertEquals(502, caller.readResponse().status());
      assertEquals(0, other.receivedRequests.size());
    }
  }

  /**
   * The registration of the new incarnation arrives shortly after a request was sent to it. Within
   * the clock skew the request may be running at the new incarnation, so it continues.
   */
  @Test
  void requestThatMayBeAtTheNewIncarnationContinues() throws Exception {
    ScriptedTarget slow =
        ScriptedTarget.of(
            request -> {
              if (request.indexOnConnection() == 1) {
                Thread.sleep(50);
              }
              request.respond("won");
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(slow);
        Caller caller = fixture.caller()) {
      updateTarget(fixture, slow, 1);
      caller.sendPost("/once/1", "a", "bid");
      assertEquals(true, slow.firstRequest.await(1, TimeUnit.MINUTES));
      updateTarget(fixture, slow, System.currentTimeMillis() + 100);
      assertEquals("won", caller.readResponse().body());
    }
  }
}
