package org.sageladder.entry.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
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
import org.junit.jupiter.api.Test;

/** Responses whose body ends only when the connection is closed. */
class CloseDelimitedResponseTest {

  // A target fails while it sends a response without a length. Only the closed connection marks the
  // end of the body, so a truncated body looks complete; forwarded in chunks with a last chunk, the
  // caller would take it for a success.
  @Test
  void responseWithoutLengthOrChunksIsLost() throws Exception {
    assertEquals("lost, sent", firstEvent("HTTP/1.1 200 OK\r\n\r\nhalf a so"));
  }

  @Test
  void responseWithLengthIsForwarded() throws Exception {
    assertEquals("head", firstEvent("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsong"));
  }

  /**
   * The first event of an exchange with a target that sends {@code response} and closes the
   * connection.
   */
  private static String firstEvent(String response) throws Exception {
    try (ServerSocket target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        OutboundClient client = OutboundClient.start(1, 1)) {
      CompletableFuture<Void> responding =
          CompletableFuture.runAsync(() -> sendResponse(target, response));
      CompletableFuture<String> firstEventFuture = new CompletableFuture<>();
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
              completing(firstEventFuture));
      String event = firstEventFuture.get(20, TimeUnit.SECONDS);
      responding.join();
      cancel.run();
      return event;
    }
  }

  private static void sendResponse(ServerSocket target, String response) {
    try (Socket connection = target.accept()) {
      byte[] head = new byte[4096];
      if (connection.getInputStream().read(head) > 0) {
        connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static RequestSender.Listener completing(CompletableFuture<String> firstEventFuture) {
    return new RequestSender.Listener() {
      @Override
      public void onResponse(
          HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
        firstEventFuture.complete("head");
      }

      @Override
      public void onComplete() {}

      @Override
      public void onFailure(boolean sent, Exception cause) {
        firstEventFuture.complete(sent ? "lost, sent" : "lost, not sent");
      }
    };
  }
}
