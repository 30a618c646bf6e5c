package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sageladder.forward.ForwardingFixture.Caller;
import org.sageladder.forward.ForwardingFixture.Response;

/** Guards against requests that end without a response as a planned shutdown ends. */
class ShutdownCutoffTest {
  /** Accepted by its estimate, a request was cut off as its run took longer. */
  @Test
  void requestWhoseDeadlineIsAfterTheShutdownIsRefusedWhateverItsEstimate() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller before = fixture.caller();
        Caller during = fixture.caller()) {
      assertEquals(200, before.exchange("/safe/1", "a").status());
      fixture.onLoop(() -> fixture.forwarder.beginShutdown(30_000));
      Response response = during.exchange("/safe/2", "b");
      assertEquals(503, response.status());
      assertEquals("close", response.header("Connection"));
      assertEquals(1, target.receivedRequests.size());
    }
  }

  @Test
  void requestWhoseDeadlineIsBeforeTheEndOfTheShutdownIsServed() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      fixture.onLoop(() -> fixture.forwarder.beginShutdown(120_000));
      assertEquals(200, caller.exchange("/safe/1", "a").status());
    }
  }

  @Test
  void requestAtATargetIsAnsweredAsTheShutdownEnds() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    try (ForwardingFixture fixture = ForwardingFixture.open(silent);
        Caller caller = fixture.caller()) {
      caller.sendGet("/safe/1", "a");
      assertTrue(silent.firstRequest.await(60, TimeUnit.SECONDS));
      fixture.onLoop(() -> fixture.forwarder.beginShutdown(60_000));
      fixture.onLoop(fixture.forwarder::abandonAll);
      Response response = caller.readResponse();
      assertEquals(502, response.status());
      assertEquals("close", response.header("Connection"));
      assertTrue(caller.isClosedByPeer());
    }
  }

  @Test
  void requestThatWasNotSentOnIsRefusedAsTheShutdownEnds() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      caller.write("POST /once/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 9\r\n\r\nhalf");
      while (fixture.inFlightCount() == 0) {
        Thread.sleep(5);
      }
      fixture.onLoop(() -> fixture.forwarder.beginShutdown(60_000));
      fixture.onLoop(fixture.forwarder::abandonAll);
      Response response = caller.readResponse();
      assertEquals(503, response.status());
      assertEquals(0, target.receivedRequests.size());
    }
  }

  @Test
  void pipelinedRequestsAreAllAnsweredAsTheShutdownEnds() throws Exception {
    ScriptedTarget silent = ScriptedTarget.of(request -> {});
    try (ForwardingFixture fixture = ForwardingFixture.open(silent);
        Caller caller = fixture.caller()) {
      caller.sendGet("/safe/1", "a");
      caller.sendPost("/once/2", "b", "bid");
      while (fixture.inFlightCount() < 2) {
        Thread.sleep(5);
      }
      assertTrue(silent.firstRequest.await(60, TimeUnit.SECONDS));
      fixture.onLoop(() -> fixture.forwarder.beginShutdown(60_000));
      fixture.onLoop(fixture.forwarder::abandonAll);
      assertEquals(502, caller.readResponse().status());
      Response second = caller.readResponse();
      assertEquals(503, second.status());
      assertEquals("close", second.header("Connection"));
    }
  }
}
