package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sageladder.forward.ForwardingFixture.Caller;
import org.sageladder.forward.ForwardingFixture.Response;

/** Requests that must not repeat run once at most, and "not run" is true. */
class AtMostOnceTest {
  private static void refuse(ScriptedTarget.ReceivedRequest request) throws java.io.IOException {
    request.write(
        "HTTP/1.1 503 Busy\r\nId: "
            + request.header("Id")
            + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  }

  private static int receivedCount(ScriptedTarget... targets) {
    int all = 0;
    for (ScriptedTarget target : targets) {
      all += target.receivedRequests.size();
    }
    return all;
  }

  /**
   * A dealer's bid is registered and its answer lost with the connection. Sent to a second target
   * it would win the sheet twice; answered "not run" the dealer would bid again.
   */
  @Test
  void lostRequestIsNeitherRetriedNorReportedAsNotRun() throws Exception {
    ScriptedTarget one = ScriptedTarget.of(ScriptedTarget.ReceivedRequest::reset);
    ScriptedTarget two = ScriptedTarget.of(ScriptedTarget.ReceivedRequest::reset);
    try (ForwardingFixture bed = ForwardingFixture.open(one, two);
        Caller caller = bed.caller()) {
      caller.sendPost("/once/1", "a", "bid");
      assertEquals(502, caller.readResponse().status());
      assertEquals(1, receivedCount(one, two));
    }
  }

  /**
   * A target that is full says that it has not run the bid; the other one takes it, body and all.
   */
  @Test
  void refusedRequestIsRetriedAtAnotherTarget() throws Exception {
    ScriptedTarget full = ScriptedTarget.of(AtMostOnceTest::refuse);
    ScriptedTarget free = ScriptedTarget.of(request -> request.respond(request.body()));
    try (ForwardingFixture bed = ForwardingFixture.open(full, free)) {
      for (int i = 0; i < 4; i++) {
        try (Caller caller = bed.caller()) {
          caller.sendPost("/once/" + i, "id-" + i, "bid " + i);
          assertEquals("bid " + i, caller.readResponse().body());
        }
      }
      assertEquals(4, free.receivedRequests.size());
    }
  }

  /** All targets are full: the caller is told that nothing has run, and when to come back. */
  @Test
  void requestRefusedByAllTargetsIsNotRunAndHasRetryAfter() throws Exception {
    ScriptedTarget one = ScriptedTarget.of(AtMostOnceTest::refuse);
    ScriptedTarget two = ScriptedTarget.of(AtMostOnceTest::refuse);
    try (ForwardingFixture bed = ForwardingFixture.open(one, two);
        Caller caller = bed.caller()) {
      caller.sendPost("/once/1", "a", "bid");
      Response answer = caller.readResponse();
      assertEquals(503, answer.status());
      assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
      assertEquals("a", answer.header("Id"));
    }
  }

  /**
   * A search is lost at one target and refused by the next. The first may have run it, so that "not
   * run" would be untrue.
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
    try (ForwardingFixture bed = ForwardingFixture.open(one, two)) {
      for (int i = 0; i < 6; i++) {
        int lostBefore = one.receivedRequests.size();
        try (Caller caller = bed.caller()) {
          int status = caller.exchange("/safe/1", "id-" + i).status();
          boolean lost = one.receivedRequests.size() > lostBefore;
          assertEquals(lost ? 502 : 503, status);
        }
      }
    }
  }

  /** Another target has the address now: it says so, is not sent to again, and nothing has run. */
  @Test
  void misdirectedTargetIsRemoved() throws Exception {
    ScriptedTarget moved =
        ScriptedTarget.of(request -> request.write("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"));
    try (ForwardingFixture bed = ForwardingFixture.open(moved);
        Caller caller = bed.caller()) {
      caller.sendPost("/once/1", "a", "bid");
      assertEquals(503, caller.readResponse().status());
      caller.sendPost("/once/1", "b", "bid");
      assertEquals(503, caller.readResponse().status());
      assertEquals(1, moved.receivedRequests.size());
    }
  }

  /** A collector leaves; the work on its page must stop, since others wait for the slot. */
  @Test
  void closedCallerConnectionCancelsItsRequest() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> {});
    try (ForwardingFixture bed = ForwardingFixture.open(target)) {
      try (Caller caller = bed.caller()) {
        caller.sendGet("/safe/1", "a");
        assertTrue(target.firstRequest.await(60, TimeUnit.SECONDS));
      }
      assertEquals("Connection reset", target.connectionEnds.poll(60, TimeUnit.SECONDS));
    }
  }

  /** The operator's timeout ends the wait with an answer; the target stops its work. */
  @Test
  void routeTimeoutIsAnswered() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> {});
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      assertEquals(504, caller.exchange("/hasty/1", "a").status());
      assertEquals("Connection reset", target.connectionEnds.poll(60, TimeUnit.SECONDS));
    }
  }

  /** What a target is told of the time never exceeds what the caller and the route leave. */
  @Test
  void remainingTimeIsForwarded() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond(request.header("Wait")));
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      caller.write("GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nWait: 5000\r\n\r\n");
      assertTrue(Long.parseLong(caller.readResponse().body()) <= 5_000);
      assertTrue(Long.parseLong(caller.exchange("/hasty/1", "b").body()) <= 300);
    }
  }

  /** Heads that a target might read otherwise are refused before anything is sent. */
  @Test
  void ambiguousHeadsAreRefused() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("ran"));
    String[] heads = {
      "GET /safe/1 HTTP/1.1\r\nHost: h\r\nHost: g\r\nId: a\r\n\r\n",
      "GET /safe/1 HTTP/1.1\r\nId: a\r\n\r\n",
      "GET /safe/1 HTTP/1.1\r\nHost: h\r\n\r\n",
      "POST /safe/1 HTTP/1.1\r\n"
          + "Host: h\r\n"
          + "Id: a\r\n"
          + "Content-Length: 3\r\n"
          + "Content-Length: 4\r\n\r\n"
          + "abc",
      "POST /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nTransfer-Encoding: gzip\r\n\r\n",
      "POST /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: x\r\n\r\n",
      "nonsense\r\n\r\n"
    };
    try (ForwardingFixture bed = ForwardingFixture.open(target)) {
      for (String head : heads) {
        try (Caller caller = bed.caller()) {
          caller.write(head);
          assertEquals(400, caller.readResponse().status(), head);
          assertTrue(caller.isClosedByPeer(), head);
        }
      }
      try (Caller caller = bed.caller()) {
        caller.write("GET /safe/" + "x".repeat(5_000) + " HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n");
        assertEquals(431, caller.readResponse().status());
      }
      assertEquals(0, target.receivedRequests.size());
    }
  }

  /** 404 says that there is no such route, which only a VM that knows the routes can say. */
  @Test
  void unknownRoutesAre404OnlyOnceRulesAreKnown() throws Exception {
    try (ForwardingFixture bed = ForwardingFixture.withoutRules();
        Caller caller = bed.caller()) {
      Response early = caller.exchange("/none/1", "a");
      assertEquals(503, early.status());
      assertFalse(early.header("Retry-After").isEmpty());
      bed.onLoop(() -> bed.forwarder.applyRules(ForwardingFixture.rules(1)));
      assertEquals(404, caller.exchange("/none/1", "b").status());
    }
  }

  /** A configuration that comes late does not undo a newer one. */
  @Test
  void olderRulesAreIgnored() throws Exception {
    try (ForwardingFixture bed = ForwardingFixture.open()) {
      bed.onLoop(
          () -> {
            assertTrue(bed.forwarder.applyRules(ForwardingFixture.rules(5)));
            assertFalse(bed.forwarder.applyRules(ForwardingFixture.rules(4)));
          });
    }
  }
}
