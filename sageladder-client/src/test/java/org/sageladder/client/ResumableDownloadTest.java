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

/** Fetching in parts, against an entry VM that says and does what each test names. */
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

  /** The first {@code sent} bytes of a song that is announced in full. */
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

  // A night's export of a gigabyte loses its connection now and then. Begun anew each time it may
  // never end by morning; it must go on where it was cut, and be the same bytes.
  @Test
  void truncatedDownloadResumesWhereItEnded() {
    serve(
        head ->
            hasRangeHeader(head)
                ? partialResponse(SONG, "\"v1\"", 6)
                : truncatedResponse(SONG, "\"v1\"", 6));
    Answer.Complete whole = assertInstanceOf(Answer.Complete.class, fetch(Duration.ofSeconds(20)));
    assertEquals(SONG, sink.text());
    assertEquals(2, whole.attemptCount());
    String second = entry.requests().get(1);
    assertTrue(second.contains("Range: bytes=6-\r\n"), second);
    assertTrue(second.contains("If-Range: \"v1\"\r\n"), second);
  }

  // An archivist replaces a recording while it is fetched. The beginning of the old one and the end
  // of the new one together have the right length and look whole.
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

  /** The old version cut at first, the new one whole afterwards. */
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

  // Every answer is cut until morning. The program must hear that the export is not whole.
  @Test
  void downloadThatStaysTruncatedEndsUnknown() {
    serve(head -> truncatedResponse(SONG, "", 6));
    assertInstanceOf(Answer.Unknown.class, fetch(Duration.ofMillis(300)));
  }

  @Test
  void targetErrorEndsDownloadWithoutWritingToSink() {
    serve(head -> ScriptedEntry.response(404, OK, "no such song"));
    Answer.Complete whole = assertInstanceOf(Answer.Complete.class, fetch(Duration.ofSeconds(20)));
    assertEquals(404, whole.status());
    assertEquals("", sink.text());
  }

  // A slow part is given up and the rest asked for elsewhere, while the I/O thread still holds a
  // piece of the slow one. Written after the new part has begun, these bytes would stand twice.
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
