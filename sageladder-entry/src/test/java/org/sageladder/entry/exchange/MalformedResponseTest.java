package org.sageladder.entry.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.net.URIAuthority;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Targets of the own interface that send a whole response with a malformed head. */
class MalformedResponseTest {
  private static final String STATUS_LINE = "HTTP/1.1 200 OK";

  /** Guards against a response whose status is no HTTP status. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "000",
        "099",
        "0",
        "20",
        "0200",
        "2000",
        "+200",
        "-200",
        "600",
        "999",
        "2x0",
        "20\u0001",
        "200\u0000"
      })
  void invalidStatusIsLost(String status) throws Exception {
    assertLostAndClosed("HTTP/1.1 " + status + " OK\r\nContent-Length: 3\r\n\r\nown");
  }

  /** Guards against a control byte that reaches the caller in the reason phrase. */
  @ParameterizedTest
  @ValueSource(strings = {"O\u0000K", "O\u0001K", "O\rK", "O\u007fK"})
  void controlByteInTheReasonPhraseIsLost(String reason) throws Exception {
    assertLostAndClosed("HTTP/1.1 200 " + reason + "\r\nContent-Length: 3\r\n\r\nown");
  }

  /** Guards against a header whose name holds, begins or ends with a blank or a control byte. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "X Note: n",
        "X\tNote: n",
        "X\u0000Note: n",
        "X\u0001Note: n",
        "X\u007fNote: n",
        "X-Note : n",
        "X-Note\t: n",
        " X-Note: n",
        "\tX-Note: n",
        "\u0001X-Note: n",
        "X-Note\u0000: n",
        ": n",
        "X\u00e4: n",
        "X/Note: n",
        "X-Note",
        "Content-Length : 2",
        "Content Length: 3",
        "Transfer-Encoding : chunked",
        " Transfer-Encoding: chunked"
      })
  void invalidHeaderNameIsLost(String line) throws Exception {
    assertLostAndClosed(STATUS_LINE + "\r\n" + line + "\r\nContent-Length: 3\r\n\r\nown");
    assertLostAndClosed(STATUS_LINE + "\r\nA: b\r\n" + line + "\r\nContent-Length: 3\r\n\r\nown");
  }

  /** Guards against the chunks of a body, with their sizes, that count as the body. */
  @ParameterizedTest
  @ValueSource(strings = {"chunke", "gzip", "gzip, chunked"})
  void unknownTransferCodingIsLost(String coding) throws Exception {
    assertLostAndClosed(
        STATUS_LINE + "\r\nTransfer-Encoding: " + coding + "\r\n\r\n3\r\nown\r\n0\r\n\r\n");
  }

  /** Guards against valid responses that are rejected. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 299 \r\n",
        "HTTP/1.1 299\r\n",
        "HTTP/1.1 599 A b\tc\r\n",
        "HTTP/1.1 400 No\r\n!#$%&'*+-.^_`|~09azAZ:v\r\n",
        "HTTP/1.1 200 OK\r\nA:\r\nB: \t c d \r\n"
      })
  void validResponseIsForwarded(String beginning) throws Exception {
    assertEquals(
        beginning.substring(9, 12), firstEvent(beginning + "Content-Length: 3\r\n\r\nown").event());
  }

  private static void assertLostAndClosed(String response) throws Exception {
    assertEquals(new Observed("lost, sent", true), firstEvent(response), response);
  }

  /** The first event of an exchange, and whether its connection was closed afterwards. */
  private record Observed(String event, boolean isClosed) {}

  /** Observes an exchange with a target that sends {@code response} and keeps the connection. */
  private static Observed firstEvent(String response) throws Exception {
    try (ServerSocket target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        OutboundClient client = OutboundClient.start(1, 1)) {
      CompletableFuture<Boolean> closing =
          CompletableFuture.supplyAsync(() -> respondAndAwaitClose(target, response));
      CompletableFuture<String> firstEvent = new CompletableFuture<>();
      BasicHttpRequest request = new BasicHttpRequest("GET", "/recordings/7");
      HttpHost host = new HttpHost("127.0.0.1", target.getLocalPort());
      request.setAuthority(new URIAuthority(host));
      Runnable cancel =
          client.send(
              host,
              request,
              null,
              BodyPipe.of(new byte[0]),
              Duration.ofSeconds(5),
              completing(firstEvent));
      String event = firstEvent.get(20, TimeUnit.SECONDS);
      boolean isLost = event.startsWith("lost");
      boolean isClosed = isLost && closing.get(20, TimeUnit.SECONDS);
      cancel.run();
      return new Observed(event, isClosed);
    }
  }

  private static boolean respondAndAwaitClose(ServerSocket target, String response) {
    try (Socket connection = target.accept()) {
      InputStream in = connection.getInputStream();
      byte[] head = new byte[4096];
      if (in.read(head) > 0) {
        connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
      }
      return in.read() < 0;
    } catch (IOException reset) {
      return true;
    }
  }

  private static RequestSender.Listener completing(CompletableFuture<String> firstEvent) {
    return new RequestSender.Listener() {
      @Override
      public void onResponse(
          HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
        firstEvent.complete(Integer.toString(response.getCode()));
      }

      @Override
      public void onComplete() {}

      @Override
      public void onFailure(boolean sent, Exception cause) {
        firstEvent.complete(sent ? "lost, sent" : "lost, not sent");
      }
    };
  }
}
