package org.sageladder.client;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A response whose connection ends within the size of a chunk. */
class TruncatedChunkSizeTest {
  private static final String OK = "Sageladder-Result: 0 OK\r\nSageladder-Outcome: ran\r\n";

  /** Guards against a chunk of size 05, cut behind the 0, that counts as the last one. */
  @Test
  void chunkSizeCutBehindAZeroIsNotTheEnd() throws IOException {
    String response =
        "HTTP/1.1 200 OK\r\n" + OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0";
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
                  ? ScriptedEntry.response(200, OK, route)
                  : response);
      byte[] body = "bid".getBytes(StandardCharsets.UTF_8);
      Request request =
          Request.post("kalnins-dauge", "bid", 4, "/first", body, "text/plain")
              .deadline(Duration.ofSeconds(2));
      assertFalse(client.send(request) instanceof Answer.Complete);
    }
  }
}
