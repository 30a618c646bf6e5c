package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.forward.ForwardingFixture.Caller;

/** A target that starts again under its id: what was open to its former start ends with that. */
class TargetRestartTest {
  private static final long HOUR_MILLIS = 3_600_000;

  private static TargetFacts facts(ScriptedTarget target, long born) {
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

  private static void updateTarget(ForwardingFixture bed, ScriptedTarget target, long born)
      throws Exception {
    bed.onLoop(() -> bed.forwarder.updateTarget(facts(target, born)));
  }

  /**
   * The target crashed behind a cut: no reset ever came, and its kept connection looks sound. The
   * next bid sent on it would be lost without anybody knowing whether it ran.
   */
  @Test
  void connectionsToThePreviousStartAreNotReused() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("done"));
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      updateTarget(bed, target, 1);
      assertEquals("done", caller.exchange("/safe/1", "a").body());
      updateTarget(bed, target, 2);
      assertNotNull(target.connectionEnds.poll(1, TimeUnit.MINUTES));
      assertEquals("done", caller.exchange("/safe/2", "b").body());
      assertEquals(1, target.receivedRequests.get(1).indexOnConnection());
    }
  }

  /**
   * A search is in flight at a target that ended behind a cut. Its connection stays open and
   * silent; without a look at the new start the caller would wait until its time is over.
   */
  @Test
  void idempotentRequestAtThePreviousStartIsRetriedAtAnotherTarget() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    ScriptedTarget other = ScriptedTarget.of(request -> request.respond("found"));
    try (ForwardingFixture bed = ForwardingFixture.open(silent);
        Caller caller = bed.caller()) {
      updateTarget(bed, silent, 1);
      caller.sendGet("/safe/1", "a");
      assertEquals(true, silent.firstRequest.await(1, TimeUnit.MINUTES));
      bed.addTarget(other);
      updateTarget(bed, silent, System.currentTimeMillis() + HOUR_MILLIS);
      assertEquals("found", caller.readResponse().body());
    }
  }

  /**
   * A bid is in flight at a target that has started again since. The former start may have run it,
   * so that it is neither sent again nor called "not run"; its caller hears so at once.
   */
  @Test
  void nonIdempotentRequestAtThePreviousStartHasUnknownOutcome() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    ScriptedTarget other = ScriptedTarget.of(request -> request.respond("won"));
    try (ForwardingFixture bed = ForwardingFixture.open(silent);
        Caller caller = bed.caller()) {
      updateTarget(bed, silent, 1);
      caller.sendPost("/once/1", "a", "bid");
      assertEquals(true, silent.firstRequest.await(1, TimeUnit.MINUTES));
      bed.addTarget(other);
      updateTarget(bed, silent, System.currentTimeMillis() + HOUR_MILLIS);
      assertEquals(502, caller.readResponse().status());
      assertEquals(0, other.receivedRequests.size());
    }
  }

  /**
   * The new start's word comes a moment after a bid was sent to it on a new connection. The bid is
   * with the new start, by clocks that differ a little, and goes on.
   */
  @Test
  void requestThatMayBeAtTheNewStartContinues() throws Exception {
    ScriptedTarget slow =
        ScriptedTarget.of(
            request -> {
              if (request.indexOnConnection() == 1) {
                Thread.sleep(50);
              }
              request.respond("won");
            });
    try (ForwardingFixture bed = ForwardingFixture.open(slow);
        Caller caller = bed.caller()) {
      updateTarget(bed, slow, 1);
      caller.sendPost("/once/1", "a", "bid");
      assertEquals(true, slow.firstRequest.await(1, TimeUnit.MINUTES));
      updateTarget(bed, slow, System.currentTimeMillis() + 100);
      assertEquals("won", caller.readResponse().body());
    }
  }
}
