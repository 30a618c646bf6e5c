package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sageladder.forward.ForwardingFixture.Caller;
import org.sageladder.forward.ForwardingFixture.Response;

/** A target sends a part of a second response, and then the response to the next request. */
class UnfinishedResponseTest {
  /** Guards against the status of a second response with the headers and body of the next one. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void statusOfTheNextResponseIsItsOwn(boolean isLate) throws Exception {
    String piece = "HTTP/1.1 200 OK";
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              String response = ScriptedTarget.okResponse(request.header("Id"), "own");
              if (request.header("Id").equals("a")) {
                request.write(response + (isLate ? "" : piece));
                return;
              }
              String late = isLate && request.indexOnConnection() > 1 ? piece : "";
              request.write(late + response.replace("200 OK", "500 Failed"));
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(200, caller.exchange("/once/1", "a").status());
      Response next = caller.exchange("/once/1", "b");
      assertEquals(isLate ? 502 : 500, next.status());
    }
  }

  /** Guards against a request that must not repeat on a connection whose next bytes are foreign. */
  @Test
  void connectionWithUnreadBytesCarriesNoRequest() throws Exception {
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond("own"));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(200, caller.exchange("/once/1", "a").status());
      fixture.onLoop(
          () -> {
            target.receivedRequests.get(0).writeUnchecked("HTTP/1.1 500 Failed");
            caller.sendGetUnchecked("/once/1", "b");
          });
      assertEquals(200, caller.readResponse().status());
      assertEquals(1, target.receivedRequests.get(1).indexOnConnection());
    }
  }

  /** Guards against a wait until the deadline behind a response that was truncated in its body. */
  @Test
  void requestBehindATruncatedResponseIsSentElsewhere() throws Exception {
    ScriptedTarget.Script script =
        request -> {
          String id = request.header("Id");
          if (request.indexOnConnection() == 1) {
            request.respond("for " + id);
            return;
          }
          String other = ScriptedTarget.okResponse("a", "x".repeat(500));
          request.write(other.substring(0, other.length() - 400));
          request.respond("for " + id);
        };
    try (ForwardingFixture fixture =
            ForwardingFixture.open(ScriptedTarget.of(script), ScriptedTarget.of(script));
        Caller caller = fixture.caller()) {
      assertEquals("for a", caller.exchange("/safe/1", "a").body());
      assertEquals("for b", caller.exchange("/safe/1", "b").body());
    }
  }

  /** Guards against results of non-idempotent requests that a target loses one after another. */
  @Test
  void nonIdempotentRequestsGetNewConnectionsToATargetThatSendsPieces() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              String piece = request.indexOnConnection() > 1 ? "HTTP/1.1 200 OK" : "";
              request.write(piece + ScriptedTarget.okResponse(request.header("Id"), "own"));
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(200, caller.exchange("/once/1", "a").status());
      assertEquals(502, caller.exchange("/once/1", "b").status());
      assertEquals(200, caller.exchange("/once/1", "c").status());
      assertEquals(200, caller.exchange("/once/1", "d").status());
    }
  }

  /** Guards against connections that pile up at a target that sends pieces. */
  @Test
  void newConnectionsToATargetThatSendsPiecesReplaceIdleOnes() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              String piece = request.header("Id").equals("b") ? "HTTP/1.1 200 OK" : "";
              request.write(piece + ScriptedTarget.okResponse(request.header("Id"), "own"));
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(200, caller.exchange("/once/1", "a").status());
      assertEquals(502, caller.exchange("/once/1", "b").status());
      assertNotNull(target.connectionEnds.poll(1, TimeUnit.MINUTES));
      for (int i = 0; i < 4; i++) {
        assertEquals(200, caller.exchange("/once/1", "c-" + i).status());
      }
      for (int i = 0; i < 3; i++) {
        assertNotNull(target.connectionEnds.poll(2, TimeUnit.SECONDS), i + " of 3 are closed");
      }
    }
  }

  /** Guards against a truncated body that a second response fills up to its length. */
  @Test
  void bodyThatASecondResponseFillsUpIsLost() throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request -> {
              String response = ScriptedTarget.okResponse(request.header("Id"), "x".repeat(500));
              request.write(response.substring(0, response.length() - 400) + response);
            });
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(502, caller.exchange("/once/1", "a").status());
    }
  }

  /** Guards against whole bodies that are taken for filled up, since they quote a response. */
  @Test
  void bodyThatQuotesAResponseIsWhole() throws Exception {
    String quote = ScriptedTarget.okResponse("z", "quoted");
    ScriptedTarget target = ScriptedTarget.of(request -> request.respond(quote));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(quote, caller.exchange("/once/1", "a").body());
    }
  }
}
