package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sageladder.forward.ForwardingFixture.Caller;
import org.sageladder.forward.ForwardingFixture.Response;

/** A target or a caller sends a whole message in which the name of a header is no token. */
class InvalidHeaderNameTest {
  private static final String LENGTH = "Content-Length: 3\r\n";

  /** Returns a response to the request {@code id} with {@code line} in front of its length. */
  private static String response(String id, String line) {
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: s\r\n" + line + LENGTH + "\r\nown";
  }

  private static ScriptedTarget answering(String line) throws IOException {
    return ScriptedTarget.of(request -> request.write(response(request.header("Id"), line)));
  }

  /**
   * Guards against a header whose name holds, begins or ends with whitespace or a control
   * character.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "X Note: n",
        "X\tNote: n",
        "X\u0000Note: n",
        "X\u0001Note: n",
        "X\u001fNote: n",
        "X\u007fNote: n",
        "X\u000bNote: n",
        "X\rNote: n",
        "X-Note : n",
        "X-Note\t: n",
        "X-Note \t : n",
        "\u0001X-Note: n",
        "\u0000X-Note: n",
        "X-Note\u0001: n",
        "X-Note\u0000: n",
        "X-Note\r: n",
        ": n",
        "X\u00e4: n",
        "X/Note: n",
        "X\"Note: n",
        "X(Note): n",
        "X-Note"
      })
  void invalidNameIsNotForwarded(String line) throws Exception {
    ScriptedTarget target = answering(line + "\r\n");
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(502, caller.exchange("/once/1", "a").status());
      assertEquals(502, caller.exchange("/once/1", "b").status());
      assertEquals(1, target.receivedRequests.get(1).indexOnConnection());
      String counter = "sageladder_responses_discarded_malformed 2\n";
      fixture.onLoop(() -> assertTrue(fixture.metrics.text().contains(counter)));
    }
  }

  /** Guards against a name that is rejected only where it is not one that frames the body. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length : 3",
        "Content Length: 3",
        "Content-Length\u0000: 3",
        "\u0001Content-Length: 3",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding\t: chunked",
        "Transfer\u0000Encoding: chunked",
        "Id : b",
        "Seal : t",
        "Connection : close"
      })
  void invalidNameOfAMeaningfulHeaderIsNotForwarded(String line) throws Exception {
    try (ForwardingFixture fixture = ForwardingFixture.open(answering(line + "\r\n"));
        Caller caller = fixture.caller()) {
      assertEquals(502, caller.exchange("/once/1", "a").status());
    }
  }

  /** Guards against a header that is read as the end of the one before it. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "\r\n X-Note: n",
        "\r\n\tX-Note: n",
        "\r\n Content-Length: 3",
        "\r\nX-Note: n\r\n  more",
        "\r\n Transfer-Encoding: chunked",
        "\r\nX-Note: n\r\n : n",
        "\r\nX-Note: n\r\n \r\nX: y"
      })
  void lineThatBeginsWithWhitespaceIsNotForwarded(String lines) throws Exception {
    for (String statusLine : List.of("HTTP/1.1 200 OK", "HTTP/1.1 100 Continue")) {
      ScriptedTarget target =
          ScriptedTarget.of(
              request -> {
                String own = response(request.header("Id"), "");
                String interim = statusLine.contains("100") ? statusLine + "\r\n\r\n" : "";
                request.write(interim + own.replaceFirst("\r\n", lines + "\r\n"));
                request.connection().close();
              });
      try (ForwardingFixture fixture = ForwardingFixture.open(target);
          Caller caller = fixture.caller()) {
        assertEquals(502, caller.exchange("/once/1", "a").status());
      }
    }
  }

  /** Guards against the same where the line is received in pieces, or behind another response. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void lineThatBeginsWithWhitespaceIsNotReceived(boolean isSplit) {
    EmbeddedTarget target = new EmbeddedTarget();
    EmbeddedTarget.Recorder first = target.request("a");
    String body = "b\r\n b\r\n\tb";
    target.send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    assertEquals(body, first.body.toString());
    assertTrue(first.isComplete && target.connection.isReusable());
    target.connection.markIdle(0, () -> {});
    EmbeddedTarget.Recorder next = target.request("b");
    String folded = response("b", "X-Note: n\r\n more\r\n");
    for (String read : isSplit ? folded.split("", -1) : new String[] {folded}) {
      target.send(read);
    }
    assertTrue(next.isLost);
    assertNull(next.head);
  }

  /** Guards against an idempotent request that fails though another target could serve it. */
  @Test
  void idempotentRequestIsSentToAnotherTarget() throws Exception {
    ScriptedTarget.Script script =
        request -> {
          boolean isFirst = request.header("For").equals("t-1");
          request.write(response(request.header("Id"), isFirst ? "X Note: n\r\n" : ""));
        };
    try (ForwardingFixture fixture =
            ForwardingFixture.open(ScriptedTarget.of(script), ScriptedTarget.of(script));
        Caller caller = fixture.caller()) {
      for (int i = 0; i < 4; i++) {
        assertEquals("own", caller.exchange("/safe/" + i, "a-" + i).body());
      }
    }
  }

  /** Guards against a response that counts as complete though a trailer is malformed. */
  @ParameterizedTest
  @ValueSource(strings = {"X Note: n", "X-Note : n", "X\u0001Note: n"})
  void invalidNameOfATrailerIsNotForwarded(String line) throws Exception {
    ScriptedTarget target =
        ScriptedTarget.of(
            request ->
                request.write(
                    response(request.header("Id"), "")
                        .replace(LENGTH, "Transfer-Encoding: chunked\r\n")
                        .replace("own", "3\r\nown\r\n0\r\n" + line + "\r\n\r\n")));
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      assertEquals(502, caller.exchange("/once/1", "a").status());
    }
  }

  /** Guards against a header that a target would read under another name than its caller sent. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "X Note: n",
        "X\tNote: n",
        "X\u0000Note: n",
        "X\u0001Note: n",
        "X-Note : n",
        "X-Note\t: n",
        "Content-Length : 3",
        "Transfer-Encoding : chunked",
        ": n"
      })
  void requestWithAnInvalidNameIsNotSent(String line) throws Exception {
    ScriptedTarget target = answering("");
    try (ForwardingFixture fixture = ForwardingFixture.open(target);
        Caller caller = fixture.caller()) {
      caller.write("GET /once/1 HTTP/1.1\r\nHost: h\r\nId: a\r\n" + line + "\r\n\r\n");
      assertEquals(400, caller.readResponse().status());
      assertEquals(List.of(), target.receivedRequests);
    }
  }

  /** Guards against names that are rejected though they are tokens. */
  @Test
  void anyTokenIsForwarded() throws Exception {
    String name = "!#$%&'*+-.^_`|~09azAZ";
    try (ForwardingFixture fixture = ForwardingFixture.open(answering(name + ":v\r\n"));
        Caller caller = fixture.caller()) {
      Response response = caller.exchange("/once/1", "a");
      assertEquals("v", response.header(name));
      assertEquals(List.of(200, "own"), List.of(response.status(), response.body()));
    }
  }
}
