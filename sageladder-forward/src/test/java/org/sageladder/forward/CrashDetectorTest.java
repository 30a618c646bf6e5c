package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sageladder.core.quarantine.CrashReport;
import org.sageladder.forward.ForwardingFixture.Caller;

/** Requests that crash their targets. */
class CrashDetectorTest {
  /** A target that is gone, port and all, as soon as it has read a request for {@code /bad}. */
  private static ScriptedTarget crashingTarget() throws Exception {
    ScriptedTarget[] self = new ScriptedTarget[1];
    self[0] =
        ScriptedTarget.of(
            request -> {
              if (request.path().endsWith("bad")) {
                self[0].close();
                request.reset();
                return;
              }
              request.respond("fine");
            });
    return self[0];
  }

  /**
   * One request crashes each target that runs it, and its caller sends it again. After the second
   * crash it is refused, and the targets that are left go on serving everybody else.
   */
  @Test
  void requestThatCrashedTwoTargetsIsNotSentToAThird() throws Exception {
    ScriptedTarget[] targets = {
      crashingTarget(), crashingTarget(), crashingTarget(), crashingTarget()
    };
    try (ForwardingFixture bed = ForwardingFixture.open(targets)) {
      BlockingQueue<CrashReport> told = new LinkedBlockingQueue<>();
      bed.onLoop(() -> bed.forwarder.publishCrashesTo(told::add));
      try (Caller caller = bed.caller()) {
        assertEquals(502, caller.exchange("/safe/bad", "a").status());
      }
      CrashReport second = told.poll(60, TimeUnit.SECONDS);
      assertTrue(second != null, "the second crash is told to the other entry VMs");
      try (Caller caller = bed.caller()) {
        assertEquals(503, caller.exchange("/safe/bad", "b").status());
        assertEquals(200, caller.exchange("/safe/good", "c").status());
      }
      long reached =
          List.of(targets).stream().filter(target -> !target.receivedRequests.isEmpty()).count();
      assertTrue(reached <= 3, "two crashed and one served, but " + reached + " were reached");
    }
  }

  /** Another entry VM met the request twice already: it crashes nothing here. */
  @Test
  void crashReportsOfOtherVmsAreCounted() throws Exception {
    ScriptedTarget target = crashingTarget();
    try (ForwardingFixture bed = ForwardingFixture.open(target)) {
      BlockingQueue<CrashReport> told = new LinkedBlockingQueue<>();
      bed.onLoop(() -> bed.forwarder.publishCrashesTo(told::add));
      try (Caller caller = bed.caller()) {
        caller.sendPost("/once/bad", "a", "x");
        assertEquals(502, caller.readResponse().status());
      }
      CrashReport first = told.poll(60, TimeUnit.SECONDS);
      assertTrue(first != null, "the crash is told, since its caller may go to another entry VM");
      Set<Long> same = first.fingerprints();
      ScriptedTarget next = crashingTarget();
      bed.addTarget(next);
      bed.onLoop(
          () -> bed.forwarder.onCrashReport(new CrashReport("t-9", 1, first.atMillis(), same)));
      try (Caller caller = bed.caller()) {
        caller.sendPost("/once/bad", "b", "x");
        assertEquals(503, caller.readResponse().status());
      }
      assertEquals(0, next.receivedRequests.size());
    }
  }
}
