package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sageladder.forward.ForwardingFixture.Caller;
import org.sageladder.forward.ForwardingFixture.Response;

/** Each caller receives the complete response to its own request, or an error. */
class ResponseIntegrityTest {
  /**
   * A target sends a late second response on a reused connection, where the response to the next
   * request is expected. It must not reach that caller; the request id in the response
   * distinguishes the two.
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
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals("for a", caller.exchange("/safe/1", "a").body());
      assertEquals("for b", caller.exchange("/safe/1", "b").body());
      assertEquals("for c", caller.exchange("/safe/1", "c").body());
    }
  }

  /**
   * A response without length ends with its connection. If the connection was reset, the response
   * is truncated and must not be returned as complete.
   */
  @Test
  void resetResponseWithoutLengthIsIncomplete() throws Exception {
    ScriptedTarget resetting =
        ScriptedTarget.of(
            request -> {
              request.write(
                  "HTTP/1.1 200 OK\r\nId: " + request.header("Id") + "\r\nSeal: s\r\n\r\nshor");
              Thread.sleep(100);
              request.reset();
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(resetting);
        Caller caller = fixture.caller()) {
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
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      Response response = caller.exchange("/safe/1", "a");
      assertEquals(200, response.status());
      assertEquals("all", response.body());
    }
  }

  /** Guards against the chunks of a body, with their sizes, that count as the body. */
  @ParameterizedTest
  @ValueSource(
      strings = {"x-chunked", "chunke", "ch unked", "gzip", "gzip, chunked", "chunked, gzip", ""})
  void unknownTransferCodingIsNotForwarded(String coding) throws Exception {
    String chunks = "5\r\nfive!\r\n0\r\n\r\n";
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              request.write(
                  "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nTransfer-Encoding: "
                      + coding
                      + "\r\n\r\n");
              request.write(chunks);
              request.connection().close();
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(502, caller.exchange("/once/1", "a").status());
    }
  }

  /** A truncated response to an idempotent request is replaced by that of another target. */
  @Test
  void truncatedResponseIsRetriedAtAnotherTarget() throws Exception {
    CountDownLatch truncated = new CountDownLatch(1);
    ScriptedTarget.Script script =
        request -> {
          if (truncated.getCount() > 0) {
            truncated.countDown();
            request.write(
                ScriptedTarget.okResponse(request.header("Id"), "12345678").substring(0, 60));
            request.connection().close();
            return;
          }
          request.respond("whole");
        };
    try (ForwardingFixture fixture =
            ForwardingFixture.open(ScriptedTarget.of(script), ScriptedTarget.of(script));
        Caller caller = fixture.caller()) {
      assertEquals("whole", caller.exchange("/safe/1", "a").body());
    }
  }

  /** A success that no target created, or whose body was altered in transit, is not returned. */
  @Test
  void successWithoutASealIsNotForwarded() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> request.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(502, caller.exchange("/once/1", "a").status());
    }
  }

  /** Malformed bytes are not forwarded. */
  @Test
  void malformedResponseIsNotForwarded() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(request -> request.write("\u0001\u0002 nonsense\r\n\r\n"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(502, caller.exchange("/once/1", "a").status());
    }
  }

  /**
   * A target responds to pipelined requests out of order; the caller receives the order of its
   * requests.
   */
  @Test
  void responsesKeepTheOrderOfTheRequests() throws Exception {
    CountDownLatch otherResponses = new CountDownLatch(2);
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              if (request.path().endsWith("slow")) {
                otherResponses.await();
              }
              request.respond(request.path());
              otherResponses.countDown();
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      caller.sendGet("/safe/slow", "a");
      caller.sendGet("/safe/2", "b");
      caller.sendGet("/safe/3", "c");
      assertEquals("/safe/slow", caller.readResponse().body());
      assertEquals("/safe/2", caller.readResponse().body());
      assertEquals("/safe/3", caller.readResponse().body());
    }
  }

  /**
   * A target responds before it has read a long body and keeps the connection. If it were reused,
   * the next request would be read as the rest of that body.
   */
  @Test
  void responseBeforeTheEndOfTheBodyClosesTheConnection() throws Exception {
    ScriptedTarget target = ScriptedTarget.respondingEarly(request -> request.respond("early"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target)) {
      try (Caller caller = fixture.caller()) {
        caller.write(
            "POST /once/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 900000\r\n\r\n"
                + "x".repeat(200_000));
        assertEquals("early", caller.readResponse().body());
        assertTrue(caller.isClosedByPeer(), "the rest of the body would be read as a request");
      }
      try (Caller nextCaller = fixture.caller()) {
        assertEquals("early", nextCaller.exchange("/safe/1", "b").body());
      }
      assertEquals(1, target.receivedRequests.get(1).indexOnConnection());
    }
  }

  /** A truncated large response reaches the caller as a closed connection. */
  @Test
  void truncatedLargeResponseDoesNotLookComplete() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              String complete =
                  ScriptedTarget.okResponse(request.header("Id"), "x".repeat(2_000_000));
              request.write(complete.substring(0, 1_000_000));
              request.connection().close();
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      caller.sendGet("/safe/1", "a");
      assertThrows(IOException.class, caller::readResponse);
    }
  }

  @Test
  void largeResponseIsForwardedCompletely() throws Exception {
    String body = "0123456789".repeat(300_000);
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond(body));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(body, caller.exchange("/safe/1", "a").body());
      assertEquals(body, caller.exchange("/safe/1", "b").body());
    }
  }
}
