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

/** Answers of targets whose end cannot be told. */
class CloseDelimitedResponseTest {

  // A target dies while it sends a recording without a length. The connection's end is all that
  // marks
  // the body's end, so half a song looks whole; passed on in chunks, with a proper last chunk, the
  // researcher's client would keep it as a success.
  @Test
  void responseWithoutLengthOrChunksIsLost() throws Exception {
    assertEquals("lost, sent", firstEvent("HTTP/1.1 200 OK\r\n\r\nhalf a so"));
  }

  @Test
  void responseWithLengthIsForwarded() throws Exception {
    assertEquals("head", firstEvent("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsong"));
  }

  /** The first news of an exchange with a target that sends {@code answer} and hangs up. */
  private static String firstEvent(String answer) throws Exception {
    try (ServerSocket target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        OutboundClient client = OutboundClient.start(1, 1)) {
      CompletableFuture<Void> answering =
          CompletableFuture.runAsync(() -> sendResponse(target, answer));
      CompletableFuture<String> first = new CompletableFuture<>();
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
              completing(first));
      String news = first.get(20, TimeUnit.SECONDS);
      answering.join();
      cancel.run();
      return news;
    }
  }

  private static void sendResponse(ServerSocket target, String answer) {
    try (Socket connection = target.accept()) {
      byte[] head = new byte[4096];
      if (connection.getInputStream().read(head) > 0) {
        connection.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static RequestSender.Listener completing(CompletableFuture<String> first) {
    return new RequestSender.Listener() {
      @Override
      public void onResponse(
          HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
        first.complete("head");
      }

      @Override
      public void onComplete() {}

      @Override
      public void onFailure(boolean sent, Exception cause) {
        first.complete(sent ? "lost, sent" : "lost, not sent");
      }
    };
  }
}
