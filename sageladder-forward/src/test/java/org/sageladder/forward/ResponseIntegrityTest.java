package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.sageladder.forward.ForwardingFixture.Caller;
import org.sageladder.forward.ForwardingFixture.Response;

/** Each caller gets the whole answer to its own request, or none that looks like it. */
class ResponseIntegrityTest {
  /**
   * A collector sees another lot's page: a target sent a second answer late, on a kept connection,
   * just where the next request's answer is due. The id in the answer tells them apart.
   */
  @Test
  void lateSecondResponseIsDiscarded() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              if (request.indexOnConnection() > 1) {
                request.write(ScriptedTarget.okResponse("a", "late"));
              }
              request.respond("for " + request.header("Id"));
            });
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      assertEquals("for a", caller.exchange("/safe/1", "a").body());
      assertEquals("for b", caller.exchange("/safe/1", "b").body());
      assertEquals("for c", caller.exchange("/safe/1", "c").body());
    }
  }

  /**
   * An export arrives short and looks complete: an answer without length ends with its connection,
   * and that connection was reset. Another target's whole answer is given instead.
   */
  @Test
  void resetResponseWithoutLengthIsIncomplete() throws Exception {
    ScriptedTarget breaking =
        ScriptedTarget.of(
            request -> {
              request.write(
                  "HTTP/1.1 200 OK\r\nId: " + request.header("Id") + "\r\nSeal: s\r\n\r\nshor");
              Thread.sleep(100);
              request.reset();
            });
    try (ForwardingFixture bed = ForwardingFixture.open(breaking);
        Caller caller = bed.caller()) {
      assertEquals(502, caller.exchange("/safe/1", "a").status());
    }
  }

  @Test
  void closedResponseWithoutLengthIsComplete() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              request.write(
                  "HTTP/1.1 200 OK\r\nId: " + request.header("Id") + "\r\nSeal: s\r\n\r\nall");
              request.connection().close();
            });
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      Response answer = caller.exchange("/safe/1", "a");
      assertEquals(200, answer.status());
      assertEquals("all", answer.body());
    }
  }

  /**
   * A target breaks its answer off; the request may be repeated, so another target answers whole.
   */
  @Test
  void truncatedResponseIsRetriedAtAnotherTarget() throws Exception {
    CountDownLatch broken = new CountDownLatch(1);
    ScriptedTarget.Script script =
        request -> {
          if (broken.getCount() > 0) {
            broken.countDown();
            request.write(
                ScriptedTarget.okResponse(request.header("Id"), "12345678").substring(0, 60));
            request.connection().close();
            return;
          }
          request.respond("whole");
        };
    try (ForwardingFixture bed =
            ForwardingFixture.open(ScriptedTarget.of(script), ScriptedTarget.of(script));
        Caller caller = bed.caller()) {
      assertEquals("whole", caller.exchange("/safe/1", "a").body());
    }
  }

  /** A success that no target made, or whose body was changed on its way, is no success. */
  @Test
  void successWithoutASealIsNotForwarded() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> request.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      assertEquals(502, caller.exchange("/once/1", "a").status());
    }
  }

  /** Bytes that are no answer are not passed on, and the connection is not used again. */
  @Test
  void malformedResponseIsNotForwarded() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(request -> request.write("\u0001\u0002 nonsense\r\n\r\n"));
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      assertEquals(502, caller.exchange("/once/1", "a").status());
    }
  }

  /**
   * A caller sends three requests at once; the second target is quicker than the first. Answers
   * come in the order of the requests all the same.
   */
  @Test
  void responsesKeepTheOrderOfTheRequests() throws Exception {
    CountDownLatch others = new CountDownLatch(2);
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              if (request.path().endsWith("slow")) {
                others.await();
              }
              request.respond(request.path());
              others.countDown();
            });
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      caller.sendGet("/safe/slow", "a");
      caller.sendGet("/safe/2", "b");
      caller.sendGet("/safe/3", "c");
      assertEquals("/safe/slow", caller.readResponse().body());
      assertEquals("/safe/2", caller.readResponse().body());
      assertEquals("/safe/3", caller.readResponse().body());
    }
  }

  /**
   * A target answers a long body early and keeps its connection, still reading. Used again, the
   * next request would be read as the rest of that body.
   */
  @Test
  void responseBeforeTheEndOfTheBodyClosesTheConnection() throws Exception {
    ScriptedTarget target = ScriptedTarget.respondingEarly(request -> request.respond("early"));
    try (ForwardingFixture bed = ForwardingFixture.open(target)) {
      try (Caller caller = bed.caller()) {
        caller.write(
            "POST /once/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 900000\r\n\r\n"
                + "x".repeat(200_000));
        assertEquals("early", caller.readResponse().body());
        assertTrue(caller.isClosedByPeer(), "the rest of the body would be read as a request");
      }
      try (Caller next = bed.caller()) {
        assertEquals("early", next.exchange("/safe/1", "b").body());
      }
      assertEquals(1, target.receivedRequests.get(1).indexOnConnection());
    }
  }

  /** A large answer that breaks off in the middle reaches its caller as a broken connection. */
  @Test
  void truncatedLargeResponseDoesNotLookComplete() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              String whole = ScriptedTarget.okResponse(request.header("Id"), "x".repeat(2_000_000));
              request.write(whole.substring(0, 1_000_000));
              request.connection().close();
            });
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      caller.sendGet("/safe/1", "a");
      assertThrows(IOException.class, caller::readResponse);
    }
  }

  @Test
  void largeResponseIsForwardedCompletely() throws Exception {
    String body = "0123456789".repeat(300_000);
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond(body));
    try (ForwardingFixture bed = ForwardingFixture.open(target);
        Caller caller = bed.caller()) {
      assertEquals(body, caller.exchange("/safe/1", "a").body());
      assertEquals(body, caller.exchange("/safe/1", "b").body());
    }
  }
}
