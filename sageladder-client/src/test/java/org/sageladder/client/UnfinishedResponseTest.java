package org.sageladder.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against parts of responses that a caller gets as a whole one. */
class UnfinishedResponseTest {
  private static final String OK = "Sageladder-Result: 0 OK\r\nSageladder-Outcome: ran\r\n";
  private static final String FIRST = "HTTP/1.1 200 OK\r\n" + OK + "Content-Length: 5\r\n\r\nfirst";
  private static final String OWN = "HTTP/1.1 500 Failed\r\n" + OK + "Content-Length: 3\r\n\r\nown";
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\n" + OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n";

  private static String route(ScriptedEntry entry) {
    String json =
        "{\"revision\":3,\"ttlMillis\":60000,\"entries\":[{\"address\":\""
            + entry.address()
            + "\"}]}";
    return ScriptedEntry.response(200, OK, json);
  }

  private static Request post(String path) {
    byte[] body = "bid".getBytes(StandardCharsets.UTF_8);
    return Request.post("kalnins-dauge", "bid", 4, path, body, "text/plain")
        .deadline(Duration.ofSeconds(2));
  }

  private static String describe(Answer answer) {
    return answer instanceof Answer.Complete complete
        ? complete.status() + " " + new String(complete.body(), StandardCharsets.UTF_8)
        : "none";
  }

  @Test
  void partBehindTheFirstResponseIsNoPartOfTheNext() throws IOException {
    for (int cut = 0; cut <= FIRST.length(); cut++) {
      String part = FIRST.substring(0, cut);
      try (ScriptedEntry entry = ScriptedEntry.start().keepConnections();
          SageladderClient client =
              SageladderClient.start(ClientOptions.seeds(List.of(entry.address())))) {
        entry.useScript(
            head -> {
              if (head.startsWith("GET /v1/look-up")) {
                return route(entry);
              }
              return head.contains("/first ") ? FIRST + part : OWN;
            });
        assertEquals("200 first", describe(client.send(post("/first"))));
        Answer next = client.send(post("/next"));
        assertEquals(next instanceof Answer.Complete ? "500 own" : "none", describe(next), part);
      }
    }
  }

  @Test
  void truncatedResponseIsNotComplete() throws IOException {
    String allButLastByte = FIRST.substring(0, FIRST.length() - 1);
    for (String longest : List.of(allButLastByte, CHUNKED)) {
      for (int cut = 0; cut <= longest.length(); cut++) {
        String part = longest.substring(0, cut);
        try (ScriptedEntry entry = ScriptedEntry.start();
            SageladderClient client =
                SageladderClient.start(ClientOptions.seeds(List.of(entry.address())))) {
          entry.useScript(head -> head.startsWith("GET /v1/look-up") ? route(entry) : part);
          assertEquals("none", describe(client.send(post("/first"))), part);
        }
      }
    }
  }
}
