package org.sageladder.entry.exchange;

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

/**
 * One exchange with a target that sends a given response.
 *
 * @param firstEvent {@code status N}, {@code lost, sent} or {@code lost, not sent}
 * @param isClosedByClient whether the target saw the connection end
 */
record SingleExchange(String firstEvent, boolean isClosedByClient) {
  private static final int TIMEOUT_SECONDS = 20;

  /** Runs an exchange with a target that closes the connection after {@code response}. */
  static SingleExchange closing(String response) throws Exception {
    return run(response, true);
  }

  /** Runs an exchange with a target that keeps the connection until the client closes it. */
  static SingleExchange awaitingClose(String response) throws Exception {
    return run(response, false);
  }

  private static SingleExchange run(String response, boolean closes) throws Exception {
    try (ServerSocket target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        OutboundClient client = OutboundClient.start(1, 1)) {
      CompletableFuture<Boolean> responding =
          CompletableFuture.supplyAsync(() -> respond(target, response, closes));
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
      String event = firstEvent.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      boolean isClosedByClient = responding.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      cancel.run();
      return new SingleExchange(event, isClosedByClient);
    }
  }

  private static boolean respond(ServerSocket target, String response, boolean closes) {
    try (Socket connection = target.accept()) {
      InputStream in = connection.getInputStream();
      byte[] head = new byte[4096];
      if (in.read(head) > 0) {
        connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
      }
      return !closes && isEnded(in);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** True once the client has closed or reset the connection. */
  private static boolean isEnded(InputStream in) {
    try {
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
        firstEvent.complete("status " + response.getCode());
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
