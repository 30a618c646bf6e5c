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

/** Requests that crash their targets are quarantined. */
class CrashDetectorTest {
  /**
   * A target that closes its port and connection when it has read a request for a path ending in
   * "bad".
   */
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

  private static BlockingQueue<CrashReport> publishedCrashes(ForwardingFixture fixture)
      throws Exception {
    BlockingQueue<CrashReport> published = new LinkedBlockingQueue<>();
    fixture.onLoop(
        () ->
            fixture.forwarder.publishCrashesTo(
                notice -> {
                  if (notice instanceof CrashReport crash) {
                    published.add(crash);
                  }
                }));
    return published;
  }

  /**
   * A request crashes each target that runs it, and its caller sends it again. After the second
   * crash it is refused, and the remaining targets go on serving other requests.
   */
  @Test
  void requestThatCrashedTwoTargetsIsNotSentToAThird() throws Exception {
    ScriptedTarget[] targets = {
      crashingTarget(), crashingTarget(), crashingTarget(), crashingTarget()
    };
    try (ForwardingFixture fixture = ForwardingFixture.open(targets)) {
      BlockingQueue<CrashReport> published = publishedCrashes(fixture);
      try (Caller caller = fixture.caller()) {
        assertEquals(502, caller.exchange("/safe/bad", "a").status());
      }
      for (String crash : List.of("first", "second")) {
        CrashReport report = published.poll(60, TimeUnit.SECONDS);
        assertTrue(
            report != null, "the " + crash + " crash is not reported to the other entry VMs");
      }
      try (Caller caller = fixture.caller()) {
        assertEquals(503, caller.exchange("/safe/bad", "b").status());
        assertEquals(200, caller.exchange("/safe/good", "c").status());
      }
      long reached =
          List.of(targets).stream().filter(target -> !target.receivedRequests.isEmpty()).count();
      assertTrue(
          reached <= 3, "two targets crash and one serves, but " + reached + " were reached");
    }
  }

  /** A request that crashed a target here and another one at another entry VM is refused. */
  @Test
  void crashReportsOfOtherVmsAreCounted() throws Exception {
    ScriptedTarget target = crashingTarget();
    try (ForwardingFixture fixture = ForwardingFixture.open(target)) {
      BlockingQueue<CrashReport> published = publishedCrashes(fixture);
      try (Caller caller = fixture.caller()) {
        caller.sendPost("/once/bad", "a", "x");
        assertEquals(502, caller.readResponse().status());
      }
      CrashReport first = published.poll(60, TimeUnit.SECONDS);
      assertTrue(
          first != null, "the crash is not reported, though its caller may use another entry VM");
      Set<Long> fingerprints = first.fingerprints();
      ScriptedTarget other = crashingTarget();
      fixture.addTarget(other);
      fixture.onLoop(
          () ->
              fixture.forwarder.onCrashReport(
                  new CrashReport("t-9", 1, first.atMillis(), fingerprints)));
      try (Caller caller = fixture.caller()) {
        caller.sendPost("/once/bad", "b", "x");
        assertEquals(503, caller.readResponse().status());
      }
      assertEquals(0, other.receivedRequests.size());
    }
  }

  /** Guards against a request that counts as a new one when its caller has another address. */
  @Test
  void requestSentAgainFromAnotherAddressIsHeldBack() throws Exception {
    ScriptedTarget[] targets = {crashingTarget(), crashingTarget(), crashingTarget()};
    try (ForwardingFixture fixture = ForwardingFixture.open(targets)) {
      BlockingQueue<CrashReport> published = publishedCrashes(fixture);
      try (Caller caller = fixture.caller()) {
        assertEquals(502, caller.exchange("/safe/bad", "a").status());
      }
      for (String crash : List.of("first", "second")) {
        assertTrue(
            published.poll(60, TimeUnit.SECONDS) != null,
            "the " + crash + " crash is not reported");
      }
      try (Caller caller = fixture.callerFrom("127.0.0.2")) {
        assertEquals(503, caller.exchange("/safe/bad", "b").status());
      }
    }
  }

  /** Guards against a first crash that no other entry VM hears of. */
  @Test
  void bothCrashesOfAnUnansweredRequestAreReported() throws Exception {
    ScriptedTarget[] targets = {crashingTarget(), crashingTarget()};
    try (ForwardingFixture fixture = ForwardingFixture.open(targets)) {
      BlockingQueue<CrashReport> published = publishedCrashes(fixture);
      try (Caller caller = fixture.caller()) {
        assertEquals(502, caller.exchange("/safe/bad", "a").status());
      }
      CrashReport first = published.poll(60, TimeUnit.SECONDS);
      CrashReport second = published.poll(60, TimeUnit.SECONDS);
      assertTrue(first != null && second != null, "a crash is not reported");
      assertEquals(Set.of("t-1", "t-2"), Set.of(first.target(), second.target()));
      assertEquals(first.fingerprints(), second.fingerprints());
    }
  }

  /**
   * Guards against a request that is sent on while the crash that it has just caused is unknown.
   */
  @Test
  void requestWithAnEarlierCrashWaitsUntilItIsKnownWhetherItCausedAnother() throws Exception {
    try (ForwardingFixture fixture = ForwardingFixture.open(crashingTarget())) {
      BlockingQueue<CrashReport> published = publishedCrashes(fixture);
      try (Caller caller = fixture.caller()) {
        assertEquals(502, caller.exchange("/safe/bad", "a").status());
      }
      assertTrue(published.poll(60, TimeUnit.SECONDS) != null, "the crash is not reported");
      ScriptedTarget second = crashingTarget();
      ScriptedTarget third = crashingTarget();
      fixture.addTarget(second);
      fixture.addTarget(third);
      try (Caller caller = fixture.caller()) {
        assertEquals(502, caller.exchange("/safe/bad", "b").status());
      }
      assertEquals(1, second.receivedRequests.size() + third.receivedRequests.size());
    }
  }
}
