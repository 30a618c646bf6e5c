package org.sageladder.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests downloads in parts against an entry VM whose responses are scripted by each test. */
class ResumableDownloadTest {
  private static final String OK = "Sageladder-Result: 0 OK\r\nSageladder-Outcome: ran\r\n";
  private static final String SONG = "kannel, kannel, laula";

  private ScriptedEntry entry;
  private SageladderClient client;
  private final StringSink sink = new StringSink();

  @BeforeEach
  void start() throws IOException {
    entry = ScriptedEntry.start();
    client = SageladderClient.start(ClientOptions.seeds(List.of(entry.address())));
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    entry.close();
  }

  private static final class StringSink implements BodySink {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    @Override
    public void begin() {
      bytes.reset();
    }

    @Override
    public void accept(ByteBuffer piece) {
      byte[] copy = new byte[piece.remaining()];
      piece.get(copy);
      bytes.writeBytes(copy);
    }

    String text() {
      return bytes.toString(StandardCharsets.UTF_8);
    }
  }

  private void serve(Function<String, String> requests) {
    String route = "{\"ttlMillis\":60000,\"entries\":[{\"address\":\"" + entry.address() + "\"}]}";
    entry.useScript(
        head ->
            head.startsWith("GET /v1/look-up")
                ? ScriptedEntry.response(200, OK, route)
                : requests.apply(head));
  }

  private Answer fetch(Duration deadline) {
    return client.fetch(
        Request.get("kannelkoda", "export-audio", 4, "/song").deadline(deadline), sink);
  }

  /**
   * A response whose Content-Length is that of the full song but which ends after {@code sent}
   * bytes.
   */
  private static String truncatedResponse(String song, String tag, int sent) {
    return "HTTP/1.1 200 OK\r\n"
        + OK
        + (tag.isEmpty() ? "" : "ETag: " + tag + "\r\n")
        + "Content-Length: "
        + song.length()
        + "\r\n\r\n"
        + song.substring(0, sent);
  }

  private static String partialResponse(String song, String tag, int from) {
    String range = "bytes " + from + "-" + (song.length() - 1) + "/" + song.length();
    return ScriptedEntry.response(
        206, OK + "ETag: " + tag + "\r\nContent-Range: " + range + "\r\n", song.substring(from));
  }

  private static boolean hasRangeHeader(String head) {
    return head.contains("\r\nRange: ");
  }

  // An export of a gigabyte may lose its connection several times. If it restarted each time, it
  // might never complete; it must resume where it was truncated and yield the same bytes.
  @Test
  void truncatedDownloadResumesWhereItEnded() {
    serve(
        head ->
            hasRangeHeader(head)
                ? partialResponse(SONG, "\"v1\"", 6)
                : truncatedResponse(SONG, "\"v1\"", 6));
    Answer.Complete complete =
        assertInstanceOf(Answer.Complete.class, fetch(Duration.ofSeconds(20)));
    assertEquals(SONG, sink.text());
    assertEquals(2, complete.attemptCount());
    String second = entry.requests().get(1);
    assertTrue(second.contains("Range: bytes=6-\r\n"), second);
    assertTrue(second.contains("If-Range: \"v1\"\r\n"), second);
  }

  // The resource is replaced during the download. The start of the old version and the end of the
  // new one together have the right length and would look complete.
  @Test
  void partsOfTwoVersionsAreNeverCombined() {
    String other = SONG.toUpperCase(java.util.Locale.ROOT);
    serve(
        head ->
            hasRangeHeader(head)
                ? partialResponse(other, "\"v2\"", 6)
                : truncatedThenNewVersion(other));
    fetch(Duration.ofSeconds(20));
    assertEquals(other, sink.text());
  }

  /** Responds with the truncated old version first and the complete new one afterwards. */
  private String truncatedThenNewVersion(String newer) {
    return entry.requests().size() == 1
        ? truncatedResponse(SONG, "\"v1\"", 6)
        : ScriptedEntry.response(200, OK + "ETag: \"v2\"\r\n", newer);
  }

  @Test
  void downloadWithoutStrongEntityTagRestarts() {
    serve(
        head ->
            entry.requests().size() == 1
                ? truncatedResponse(SONG, "W/\"v1\"", 6)
                : ScriptedEntry.response(200, OK, SONG));
    assertInstanceOf(Answer.Complete.class, fetch(Duration.ofSeconds(20)));
    assertEquals(SONG, sink.text());
    assertFalse(hasRangeHeader(entry.requests().get(1)));
  }

  @Test
  void partWithWrongOffsetIsRejected() {
    serve(
        head -> {
          if (hasRangeHeader(head)) {
            return partialResponse(SONG, "\"v1\"", 3);
          }
          return entry.requests().size() == 1
              ? truncatedResponse(SONG, "\"v1\"", 6)
              : ScriptedEntry.response(200, OK, SONG);
        });
    assertInstanceOf(Answer.Complete.class, fetch(Duration.ofSeconds(20)));
    assertEquals(SONG, sink.text());
  }

  // Every response until the deadline is truncated; the caller must learn that the export is
  // incomplete.
  @Test
  void downloadThatStaysTruncatedEndsUnknown() {
    serve(head -> truncatedResponse(SONG, "", 6));
    assertInstanceOf(Answer.Unknown.class, fetch(Duration.ofMillis(300)));
  }

  @Test
  void targetErrorEndsDownloadWithoutWritingToSink() {
    serve(head -> ScriptedEntry.response(404, OK, "no such song"));
    Answer.Complete complete =
        assertInstanceOf(Answer.Complete.class, fetch(Duration.ofSeconds(20)));
    assertEquals(404, complete.status());
    assertEquals("", sink.text());
  }

  // A slow part is abandoned and the rest requested from another entry VM while the I/O thread
  // still holds data of the slow one. Written after the new part has started, these bytes would
  // appear twice.
  @Test
  void abandonedResponseDoesNotWriteToSink() throws Exception {
    BodyConsumer consumer = BodyConsumer.create(sink, 100);
    BasicHttpResponse head = new BasicHttpResponse(200);
    head.setHeader("Sageladder-Result", "0 OK");
    head.setHeader("Content-Length", 8);
    consumer.consumeResponse(
        head, new BasicEntityDetails(8, null), HttpCoreContext.create(), new IgnoringCallback());
    consumer.consume(ByteBuffer.wrap("kann".getBytes(StandardCharsets.UTF_8)));
    consumer.abandon();
    ByteBuffer late = ByteBuffer.wrap("el, ".getBytes(StandardCharsets.UTF_8));
    assertThrows(IOException.class, () -> consumer.consume(late));
    assertEquals("kann", sink.text());
  }

  private static final class IgnoringCallback
      implements FutureCallback<BodyConsumer.ReceivedResponse> {
    @Override
    public void completed(BodyConsumer.ReceivedResponse result) {}

    @Override
    public void failed(Exception cause) {}

    @Override
    public void cancelled() {}
  }

  @Test
  void onlyGetCanBeDownloadedInParts() {
    Request bid = Request.post("kalnins-dauge", "bid", 4, "/bids", new byte[1], "text/plain");
    assertThrows(IllegalArgumentException.class, () -> client.fetch(bid, sink));
  }
}
