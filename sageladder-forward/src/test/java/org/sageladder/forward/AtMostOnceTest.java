package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sageladder.forward.ForwardingBed.Answer;
import org.sageladder.forward.ForwardingBed.Caller;

/** Requests that must not repeat run once at most, and "not run" is true. */
class AtMostOnceTest {
  private static void refuse(ScriptedTarget.Received request) throws java.io.IOException {
    request.write(
        "HTTP/1.1 503 Busy\r\nId: "
            + request.header("Id")
            + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  }

  private static int received(ScriptedTarget... targets) {
    int all = 0;
    for (ScriptedTarget target : targets) {
      all += target.received.size();
    }
    return all;
  }

  /**
   * A dealer's bid is registered and its answer lost with the connection. Sent to a second target
   * it would win the sheet twice; answered "not run" the dealer would bid again.
   */
  @Test
  void aLostBidIsNeitherRepeatedNorCalledNotRun() throws Exception {
    ScriptedTarget one = ScriptedTarget.of(ScriptedTarget.Received::reset);
    ScriptedTarget two = ScriptedTarget.of(ScriptedTarget.Received::reset);
    try (ForwardingBed bed = ForwardingBed.open(one, two);
        Caller caller = bed.caller()) {
      caller.post("/once/1", "a", "bid");
      assertEquals(502, caller.read().status());
      assertEquals(1, received(one, two));
    }
  }

  /**
   * A target that is full says that it has not run the bid; the other one takes it, body and all.
   */
  @Test
  void aRefusedBidGoesToAnotherTarget() throws Exception {
    ScriptedTarget full = ScriptedTarget.of(AtMostOnceTest::refuse);
    ScriptedTarget free = ScriptedTarget.of(request -> request.answer(request.body()));
    try (ForwardingBed bed = ForwardingBed.open(full, free)) {
      for (int i = 0; i < 4; i++) {
        try (Caller caller = bed.caller()) {
          caller.post("/once/" + i, "id-" + i, "bid " + i);
          assertEquals("bid " + i, caller.read().body());
        }
      }
      assertEquals(4, free.received.size());
    }
  }

  /** All targets are full: the caller is told that nothing has run, and when to come back. */
  @Test
  void aBidRefusedEverywhereIsNotRunAndToldWhenToComeBack() throws Exception {
    ScriptedTarget one = ScriptedTarget.of(AtMostOnceTest::refuse);
    ScriptedTarget two = ScriptedTarget.of(AtMostOnceTest::refuse);
    try (ForwardingBed bed = ForwardingBed.open(one, two);
        Caller caller = bed.caller()) {
      caller.post("/once/1", "a", "bid");
      Answer answer = caller.read();
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
  void aLostSearchThatIsThenRefusedIsNotCalledNotRun() throws Exception {
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
    try (ForwardingBed bed = ForwardingBed.open(one, two)) {
      for (int i = 0; i < 6; i++) {
        int lostBefore = one.received.size();
        try (Caller caller = bed.caller()) {
          int status = caller.ask("/safe/1", "id-" + i).status();
          boolean lost = one.received.size() > lostBefore;
          assertEquals(lost ? 502 : 503, status);
        }
      }
    }
  }

  /** Another target has the address now: it says so, is not sent to again, and nothing has run. */
  @Test
  void anAddressThatIsAnotherTargetsIsForgotten() throws Exception {
    ScriptedTarget moved =
        ScriptedTarget.of(request -> request.write("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"));
    try (ForwardingBed bed = ForwardingBed.open(moved);
        Caller caller = bed.caller()) {
      caller.post("/once/1", "a", "bid");
      assertEquals(503, caller.read().status());
      caller.post("/once/1", "b", "bid");
      assertEquals(503, caller.read().status());
      assertEquals(1, moved.received.size());
    }
  }

  /** A collector leaves; the work on its page must stop, since others wait for the slot. */
  @Test
  void aCallerThatLeavesEndsItsWorkAtTheTarget() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> {});
    try (ForwardingBed bed = ForwardingBed.open(target)) {
      try (Caller caller = bed.caller()) {
        caller.get("/safe/1", "a");
        assertTrue(target.first.await(60, TimeUnit.SECONDS));
      }
      assertEquals("Connection reset", target.ends.poll(60, TimeUnit.SECONDS));
    }
  }

  /** The operator's timeout ends the wait with an answer; the target stops its work. */
  @Test
  void theRoutesTimeoutIsAnswered() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> {});
    try (ForwardingBed bed = ForwardingBed.open(target);
        Caller caller = bed.caller()) {
      assertEquals(504, caller.ask("/hasty/1", "a").status());
      assertEquals("Connection reset", target.ends.poll(60, TimeUnit.SECONDS));
    }
  }

  /** What a target is told of the time never exceeds what the caller and the route leave. */
  @Test
  void theTimeLeftIsPassedOn() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.answer(request.header("Wait")));
    try (ForwardingBed bed = ForwardingBed.open(target);
        Caller caller = bed.caller()) {
      caller.write("GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nWait: 5000\r\n\r\n");
      assertTrue(Long.parseLong(caller.read().body()) <= 5_000);
      assertTrue(Long.parseLong(caller.ask("/hasty/1", "b").body()) <= 300);
    }
  }

  /** Heads that a target might read otherwise are refused before anything is sent. */
  @Test
  void headsThatCanBeReadInTwoWaysAreRefused() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.answer("ran"));
    String[] heads = {
      "GET /safe/1 HTTP/1.1\r\nHost: h\r\nHost: g\r\nId: a\r\n\r\n",
      "GET /safe/1 HTTP/1.1\r\nId: a\r\n\r\n",
      "GET /safe/1 HTTP/1.1\r\nHost: h\r\n\r\n",
      "POST /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
      "POST /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nTransfer-Encoding: gzip\r\n\r\n",
      "POST /safe/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: x\r\n\r\n",
      "nonsense\r\n\r\n"
    };
    try (ForwardingBed bed = ForwardingBed.open(target)) {
      for (String head : heads) {
        try (Caller caller = bed.caller()) {
          caller.write(head);
          assertEquals(400, caller.read().status(), head);
          assertTrue(caller.isAtEnd(), head);
        }
      }
      try (Caller caller = bed.caller()) {
        caller.write("GET /safe/" + "x".repeat(5_000) + " HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n");
        assertEquals(431, caller.read().status());
      }
      assertEquals(0, target.received.size());
    }
  }

  /** 404 says that there is no such route, which only a VM that knows the routes can say. */
  @Test
  void unknownRoutesAre404OnceAConfigurationIsKnown() throws Exception {
    try (ForwardingBed bed = ForwardingBed.unconfigured();
        Caller caller = bed.caller()) {
      Answer early = caller.ask("/none/1", "a");
      assertEquals(503, early.status());
      assertFalse(early.header("Retry-After").isEmpty());
      bed.onLoop(() -> bed.forwarder.follow(ForwardingBed.rules(1)));
      assertEquals(404, caller.ask("/none/1", "b").status());
    }
  }

  /** A configuration that comes late does not undo a newer one. */
  @Test
  void anOlderConfigurationHasNoEffect() throws Exception {
    try (ForwardingBed bed = ForwardingBed.open()) {
      bed.onLoop(
          () -> {
            assertTrue(bed.forwarder.follow(ForwardingBed.rules(5)));
            assertFalse(bed.forwarder.follow(ForwardingBed.rules(4)));
          });
    }
  }
}
