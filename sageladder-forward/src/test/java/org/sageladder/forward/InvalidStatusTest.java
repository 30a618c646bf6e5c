package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sageladder.forward.ForwardingFixture.Caller;
import org.sageladder.forward.ForwardingFixture.Response;

/** A target sends a whole response whose status line has no valid status. */
class InvalidStatusTest {
  private static final String SUCCESS = "HTTP/1.1 200 OK";

  private static String response(String statusLine, String id) {
    return ScriptedTarget.okResponse(id, "own").replace(SUCCESS, statusLine);
  }

  private static ScriptedTarget answering(String statusLine) throws IOException {
    return ScriptedTarget.of(request -> request.write(response(statusLine, request.header("Id"))));
  }

  /** Guards against a response whose status is no HTTP status. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "000",
        "099",
        "0",
        "00",
        "20",
        "0200",
        "2000",
        "00200",
        "+200",
        "-200",
        "+20",
        "600",
        "999",
        "2x0",
        "0x1",
        "200\u0001",
        "200\u0000OK"
      })
  void invalidStatusIsNotForwarded(String status) throws Exception {
    ScriptedTarget target = answering("HTTP/1.1 " + status + " Failed");
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(502, caller.exchange("/once/1", "a").status());
      assertEquals(502, caller.exchange("/once/1", "b").status());
      assertEquals(1, target.receivedRequests.get(1).indexOnConnection());
      String counter = "sageladder_responses_discarded_malformed 2\n";
      fixture.onLoop(() -> assertTrue(fixture.metrics.text().contains(counter)));
    }
  }

  /** Guards against a status line without a status, or with other bytes around it. */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 OK", "HTTP/1.1200 OK"})
  void statusLineWithoutStatusIsNotForwarded(String statusLine) throws Exception {
    try (ForwardingFixture fixture = ForwardingFixture.open(answering(statusLine));
        Caller caller = fixture.caller()) {
      assertEquals(502, caller.exchange("/once/1", "a").status());
    }
  }

  /** Guards against a control character that reaches the caller in the reason phrase. */
  @ParameterizedTest
  @ValueSource(strings = {"\u0000", "\u0001", "\u000b", "\f", "\r", "\u001f", "\u007f"})
  void controlCharacterInTheReasonPhraseIsNotForwarded(String control) throws Exception {
    for (String reason : List.of(control + "OK", "O" + control + "K", "OK" + control)) {
      try (ForwardingFixture fixture = ForwardingFixture.open(answering("HTTP/1.1 200 " + reason));
          Caller caller = fixture.caller()) {
        assertEquals(502, caller.exchange("/once/1", "a").status(), reason);
      }
    }
  }

  /** Guards against a reason phrase that is rejected though it is valid, or is missing. */
  @ParameterizedTest
  @ValueSource(strings = {"", "O K", "O\tK", "\u00e9\u0080"})
  void anyReasonPhraseIsForwarded(String reason) throws Exception {
    try (ForwardingFixture fixture = ForwardingFixture.open(answering("HTTP/1.1 200 " + reason));
        Caller caller = fixture.caller()) {
      assertEquals(200, caller.exchange("/once/1", "a").status());
    }
  }

  /** Guards against an invalid status in other framings, on reused connections, and behind 100. */
  @Test
  void invalidStatusOfAnyFramingIsNotForwarded() throws Exception {
    String head = "HTTP/1.1 000 Failed\r\nId: b\r\nSeal: s\r\n";
    List<String> responses =
        List.of(
            head + "Content-Length: 0\r\n\r\n",
            head + "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n",
            head + "Connection: close\r\n\r\nown",
            "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 3\r\n\r\nown");
    for (String response : responses) {
      ScriptedTarget target =
          ScriptedTarget.of(
              request -> {
                if (request.header("Id").equals("a")) {
                  request.respond("own");
                  return;
                }
                request.write(response);
                request.connection().close();
              });
      try (ForwardingFixture fixture = ForwardingFixture.open(target);
          Caller caller = fixture.caller()) {
        assertEquals(200, caller.exchange("/once/1", "a").status());
        assertEquals(502, caller.exchange("/once/1", "b").status(), response);
      }
    }
  }

  /** Guards against an idempotent request that fails though another target could serve it. */
  @Test
  void idempotentRequestIsSentToAnotherTarget() throws Exception {
    ScriptedTarget.Script script =
        request -> {
          String id = request.header("Id");
          boolean isFirst = request.header("For").equals("t-1");
          request.write(response(isFirst ? "HTTP/1.1 000 Failed" : SUCCESS, id));
        };
    try (ForwardingFixture fixture =
            ForwardingFixture.open(ScriptedTarget.of(script), ScriptedTarget.of(script));
        Caller caller = fixture.caller()) {
      for (int i = 0; i < 4; i++) {
        Response response = caller.exchange("/safe/" + i, "a-" + i);
        assertEquals(200, response.status());
        assertEquals("own", response.body());
      }
    }
  }

  /** Guards against statuses that are replaced since they are not registered. */
  @ParameterizedTest
  @ValueSource(ints = {200, 206, 299, 300, 418, 499, 500, 599})
  void validStatusIsForwardedUnchanged(int status) throws Exception {
    try (ForwardingFixture fixture =
            ForwardingFixture.open(answering("HTTP/1.1 " + status + " Own"));
        Caller caller = fixture.caller()) {
      Response response = caller.exchange("/once/1", "a");
      assertEquals(status, response.status());
      assertEquals("own", response.body());
    }
  }
}
