package org.sageladder.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** An entry VM sends a whole response with a malformed head. */
class MalformedResponseTest {
  private static final String RESULT = "Sageladder-Result: 0 OK\r\nSageladder-Outcome: ran\r\n";

  private static String response(String status, String line) {
    return "HTTP/1.1 " + status + " X\r\n" + RESULT + line + "Content-Length: 3\r\n\r\nown";
  }

  /** Sends a request to an entry VM that answers it with {@code response}. */
  private static Answer send(String response) throws IOException {
    try (ScriptedEntry entry = ScriptedEntry.start();
        SageladderClient client =
            SageladderClient.start(ClientOptions.seeds(List.of(entry.address())))) {
      String route =
          "{\"revision\":3,\"ttlMillis\":60000,\"entries\":[{\"address\":\""
              + entry.address()
              + "\"}]}";
      entry.useScript(
          head ->
              head.startsWith("GET /v1/look-up")
                  ? ScriptedEntry.response(200, RESULT, route)
                  : response);
      byte[] body = "bid".getBytes(StandardCharsets.UTF_8);
      return client.send(
          Request.post("kalnins-dauge", "bid", 4, "/lots", body, "text/plain")
              .deadline(Duration.ofSeconds(2)));
    }
  }

  /** Guards against a response whose status is no HTTP status. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "0200", "+200", "600", "999"})
  void invalidStatusIsNoAnswer(String status) throws IOException {
    assertInstanceOf(Answer.Unknown.class, send(response(status, "")));
  }

  /** Guards against a header that is read under another name than the target sent. */
  @ParameterizedTest
  @ValueSource(
      strings = {"X Note: n", "X\u0000Note: n", "X-Note : n", " X-Note: n", "X-Note: \u0001"})
  void invalidHeaderNameIsNoAnswer(String line) throws IOException {
    assertInstanceOf(Answer.Unknown.class, send(response("200", line + "\r\n")));
  }

  /** Guards against valid responses that are rejected. */
  @ParameterizedTest
  @CsvSource({"200, 'X-Note: n'", "299, '!#$%&*+-.^_`|~:'", "599, 'X-Note:\ta b'"})
  void validResponseIsAnswer(String status, String line) throws IOException {
    Answer answer = send(response(status, line + "\r\n"));
    Answer.Complete complete = assertInstanceOf(Answer.Complete.class, answer);
    assertEquals(status, Integer.toString(complete.status()));
  }
}
