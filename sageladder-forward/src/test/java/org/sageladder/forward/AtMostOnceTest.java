package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sageladder.forward.ForwardingFixture.Caller;
import org.sageladder.forward.ForwardingFixture.Response;

/** Non-idempotent requests run at most once, and "not run" is only reported if it is true. */
class AtMostOnceTest {
  private static void refuse(ScriptedTarget.ReceivedRequest request) throws java.io.IOException {
    request.write(
        "HTTP/1.1 503 Busy\r\nId: "
            + request.header("Id")
            + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  }

  private static int receivedCount(ScriptedTarget... targets) {
    int total = 0;
    for (ScriptedTarget target : targets) {
      total += target.receivedRequests.size();
    }
    return total;
  }

  /**
   * Guards against running a request twice: its target has run it, but the connection was reset
   * before the response. A retry, or a "not run" after which the caller repeats it, would run it
   * again.
   */
  @Test
  void lostRequestIsNeitherRetriedNorReportedAsNotRun() throws Exception {
    ScriptedTarget one = ScriptedTarget.of(ScriptedTarget.ReceivedRequest::reset);
    ScriptedTarget two = ScriptedTarget.of(ScriptedTarget.ReceivedRequest::reset);
    try (ForwardingFixture fixture = ForwardingFixture.open(one, two);
        Caller caller = fixture.caller()) {
      caller.sendPost("/once/1", "a", "bid");
      assertEquals(502, caller.readResponse().status());
      assertEquals(1, receivedCount(one, two));
    }
  }

  /**
   * A target that refuses a request has not run it, so another target receives it with its body.
   */
  @Test
  void refusedRequestIsRetriedAtAnotherTarget() throws Exception {
    ScriptedTarget full = ScriptedTarget.of(AtMostOnceTest::refuse);
    ScriptedTarget free = ScriptedTarget.of(request -> request.respond(request.body()));
    try (ForwardingFixture fixture = ForwardingFixture.open(full, free)) {
      for (int i = 0; i < 4; i++) {
        try (Caller caller = fixture.caller()) {
          caller.sendPost("/once/" + i, "id-" + i, "bid " + i);
          assertEquals("bid " + i, caller.readResponse().body());
        }
      }
      assertEquals(4, free.receivedRequests.size());
    }
  }

  /** If all targets refuse, the caller learns that nothing has run and when to retry. */
  @Test
  void requestRefusedByAllTargetsIsNotRunAndHasRetryAfter() throws Exception {
    ScriptedTarget one = ScriptedTarget.of(AtMostOnceTest::refuse);
    ScriptedTarget two = ScriptedTarget.of(AtMostOnceTest::refuse);
    try (ForwardingFixture fixture = ForwardingFixture.open(one, two);
        Caller caller = fixture.caller()) {
      caller.sendPost("/once/1", "a", "bid");
      Response response = caller.readResponse();
      assertEquals(503, response.status());
      assertTrue(Double.parseDouble(response.header("Retry-After")) > 0);
      assertEquals("a", response.header("Id"));
    }
  }

  /**
   * Guards against a false "not run": the request is lost at one target, which may have run it, and
   * then refused by the next one.
   */
  @Test
  void lostThenRefusedRequestIsNotReportedAsNotRun() throws Exception {
    ScriptedTarget.Script script =
        request -> {
          if (request.header("For").equals("t-1")) {
            request.reset();
          } else {
            refuse(request);
          }
        };
    ScriptedTarget one = ScriptedTarget.of(script);
    ScriptedTarget two = ScriptedTarget.of(script);
    try (ForwardingFixture fixture = ForwardingFixture.open(one, two)) {
      for (int i = 0; i < 6; i++) {
        int lostBefore = one.receivedRequests.size();
        try (Caller caller = fixture.caller()) {
          int status = caller.exchange("/safe/1", "id-" + i).status();
          boolean lost = one.receivedRequests.size() > lostBefore;
          assertEquals(lost ? 502 : 503, status);
        }
      }
    }
  }

  /** Another target responds at the address: nothing has run, and the address is not used again. */
  @Test
  void misdirectedTargetIsRemoved() throws Exception {
    ScriptedTarget moved =
        ScriptedTarget.of(request -> request.write("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"));
    try (ForwardingFixture fixture = ForwardingFixture.open(moved);
        Caller caller = fixture.caller()) {
      caller.sendPost("/once/1", "a", "bid");
      assertEquals(503, caller.readResponse().status());
      caller.sendPost("/once/1", "b", "bid");
      assertEquals(503, caller.readResponse().status());
      assertEquals(1, moved.receivedRequests.size());
    }
  }

  /**
   * Guards against targets that go on working for callers that have disconnected, while other
   * requests wait for the slot.
   */
  @Test
  void closedCallerConnectionCancelsItsRequest() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> {});
    try (ForwardingFixture fixture = ForwardingFixture.open(target)) {
      try (Caller caller = fixture.caller()) {
        caller.sendGet("/safe/1", "a");
        assertTrue(target.firstRequest.await(60, TimeUnit.SECONDS));
      }
      assertEquals("Connection reset", target.connectionEnds.poll(60, TimeUnit.SECONDS));
    }
  }

  /** The timeout of the route ends the wait with a response, and the target cancels its work. */
  @Test
  void routeTimeoutIsAnswered() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> {});
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(504, caller.exchange("/hasty/1", "a").status());
      assertEquals("Connection reset", target.connectionEnds.poll(60, TimeUnit.SECONDS));
    }
  }

  /** The remaining time sent to a target never exceeds what the caller and the route allow. */
  @Test
  void remainingTimeIsForwarded() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond(request.header("Wait")));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      caller.write("GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nWait: 5000\r\n\r\n");
      assertTrue(Long.parseLong(caller.readResponse().body()) <= 5_000);
      assertTrue(Long.parseLong(caller.exchange("/hasty/1", "b").body()) <= 300);
    }
  }

  /** Guards against request smuggling: ambiguous heads are refused before anything is sent. */
  @Test
  void ambiguousHeadsAreRefused() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    String[] heads = {
      "GET /safe/1 HTTP/1.1\r\nHost: h\r\nHost: g\r\nId: a\r\n\r\n",
      "GET /safe/1 HTTP/1.1\r\nId: a\r\n\r\n",
      "GET /safe/1 HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nId: b\r\n\r\n",
      "POST /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
      "POST /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nTransfer-Encoding: gzip\r\n\r\n",
      "POST /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: x\r\n\r\n",
      "GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nConnection: close, HOST\r\n\r\n",
      "GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nConnection: transfer-encoding\r\n\r\n",
      "GET /safe/\u00f5 HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n",
      "GET /safe/\u007f HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n",
      "nonsense\r\n\r\n"
    };
    try (ForwardingFixture fixture = ForwardingFixture.open(target)) {
      for (String head : heads) {
        try (Caller caller = fixture.caller()) {
          caller.write(head);
          assertEquals(400, caller.readResponse().status(), head);
          assertTrue(caller.isClosedByPeer(), head);
        }
      }
      try (Caller caller = fixture.caller()) {
        caller.write("GET /safe/" + "x".repeat(5_000) + " HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n");
        assertEquals(431, caller.readResponse().status());
      }
      assertEquals(0, target.receivedRequests.size());
    }
  }

  /** Guards against a wait until the deadline for a body whose rest cannot be decoded. */
  @Test
  void malformedBodyIsRefusedAtOnce() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      caller.write(
          "POST /hasty/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n");
      caller.write("3\r\nabc\r\nzz\r\n");
      Response response = caller.readResponse();
      assertEquals(400, response.status());
      assertEquals("a", response.header("Id"));
      assertTrue(caller.isClosedByPeer());
      assertEquals(0, target.receivedRequests.size());
      assertEquals(0, fixture.inFlightCount());
    }
  }

  /** Guards against a body without its length, which a target takes for a request of its own. */
  @Test
  void bodyWhoseLengthIsListedInConnectionIsRefused() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    String hidden = "GET /safe/hidden HTTP/1.1\r\nHost: h\r\nId: z\r\n\r\n";
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      caller.write("POST /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nConnection: Content-Length\r\n");
      caller.write("Content-Length: " + hidden.length() + "\r\n\r\n" + hidden);
      assertEquals(400, caller.readResponse().status());
      assertTrue(caller.isClosedByPeer());
      assertEquals(0, target.receivedRequests.size());
    }
  }

  /**
   * A 404 means that no such route exists, which only a VM that has rules can determine; without
   * rules the result is 503.
   */
  @Test
  void unknownRoutesAre404OnlyOnceRulesAreKnown() throws Exception {
    try (ForwardingFixture fixture = ForwardingFixture.withoutRules();
        Caller caller = fixture.caller()) {
      Response early = caller.exchange("/none/1", "a");
      assertEquals(503, early.status());
      assertFalse(early.header("Retry-After").isEmpty());
      fixture.onLoop(() -> fixture.forwarder.applyRules(ForwardingFixture.rules(1)));
      assertEquals(404, caller.exchange("/none/1", "b").status());
    }
  }

  /** Rules that arrive late do not replace newer ones. */
  @Test
  void olderRulesAreIgnored() throws Exception {
    try (ForwardingFixture fixture = ForwardingFixture.open()) {
      fixture.onLoop(
          () -> {
            assertTrue(fixture.forwarder.applyRules(ForwardingFixture.rules(5)));
            assertFalse(fixture.forwarder.applyRules(ForwardingFixture.rules(4)));
          });
    }
  }
}
