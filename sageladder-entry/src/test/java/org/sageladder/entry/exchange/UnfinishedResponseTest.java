package org.sageladder.entry.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.net.URIAuthority;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Guards against a part of a response that becomes part of the response to the next request. */
class UnfinishedResponseTest {
  private static final String FIRST = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  private static final String OWN = "HTTP/1.1 500 Failed\r\nContent-Length: 3\r\n\r\nown";
  private static final String OTHER_HEAD = "HTTP/1.1 200 OK\r\nSeal: other\r\nNote: two words\r\n";
  private static final String OTHER = OTHER_HEAD + "Content-Length: 5\r\n\r\nother";

  /** Answers each request by its path; {@code /first} with more than its response. */
  private record Target(ServerSocket server, String behindFirst, String beforeNext) {
    static Target start(String behindFirst, String beforeNext) throws IOException {
      ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
      Target target = new Target(server, behindFirst, beforeNext);
      startThread(target::accept);
      return target;
    }

    private static void startThread(Runnable task) {
      Thread thread = new Thread(task, "target");
      thread.setDaemon(true);
      thread.start();
    }

    private void accept() {
      while (!server.isClosed()) {
        try {
          Socket connection = server.accept();
          startThread(() -> serve(connection));
        } catch (IOException closed) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean isUsed = false;
        for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
          String next = isUsed ? beforeNext + OWN : OWN;
          String response = head.startsWith("GET /first ") ? FIRST + behindFirst : next;
          isUsed = true;
          socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        }
      } catch (IOException ended) {
        return;
      }
    }

    private static String readHead(InputStream in) throws IOException {
      StringBuilder head = new StringBuilder();
      for (int read = in.read(); read >= 0; read = in.read()) {
        head.append((char) read);
        if (head.toString().endsWith("\r\n\r\n")) {
          return head.toString();
        }
      }
      return "";
    }
  }

  /** Status, seal and body of a response, or that it was lost. */
  private static String exchange(OutboundClient client, int port, String path) throws Exception {
    CompletableFuture<String> result = new CompletableFuture<>();
    BasicHttpRequest request = new BasicHttpRequest("GET", path);
    HttpHost host = new HttpHost("127.0.0.1", port);
    request.setAuthority(new URIAuthority(host));
    var unused =
        client.send(
            host,
            request,
            null,
            BodyPipe.of(new byte[0]),
            Duration.ofSeconds(5),
            new RequestSender.Listener() {
              @Override
              public void onResponse(
                  HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
                BodyCollector.collect(
                    body,
                    1_000,
                    bytes ->
                        result.complete(
                            response.getCode()
                                + (response.containsHeader("Seal") ? " sealed " : " ")
                                + new String(bytes, StandardCharsets.US_ASCII)));
              }

              @Override
              public void onComplete() {}

              @Override
              public void onFailure(boolean isSent, Exception cause) {
                result.complete("lost");
              }
            });
    return result.get(20, TimeUnit.SECONDS);
  }

  private static void assertNextIsOwnOrLost(String behindFirst, String beforeNext)
      throws Exception {
    Target target = Target.start(behindFirst, beforeNext);
    try (ServerSocket server = target.server();
        OutboundClient client = OutboundClient.start(1, 1)) {
      assertEquals("200 first", exchange(client, server.getLocalPort(), "/first"));
      String next = exchange(client, server.getLocalPort(), "/next");
      assertTrue(
          next.equals("500 own") || next.equals("lost"),
          next + " after '" + behindFirst + beforeNext + "'");
    }
  }

  @Test
  void partBehindTheFirstResponseIsNoPartOfTheNext() throws Exception {
    for (int cut = 0; cut <= OTHER.length(); cut++) {
      assertNextIsOwnOrLost(OTHER.substring(0, cut), "");
    }
  }

  @Test
  void partBehindTheNextRequestIsNoPartOfItsResponse() throws Exception {
    for (int cut = 0; cut < OTHER_HEAD.length(); cut++) {
      assertNextIsOwnOrLost("", OTHER.substring(0, cut));
    }
  }

  /** A reset, or the end of the connection, at each byte before the end of a response. */
  @Test
  void truncatedResponseIsLost() throws Exception {
    String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n";
    String allButLastByte = OTHER.substring(0, OTHER.length() - 1);
    String withoutLength = "HTTP/1.1 200 OK\r\n\r\nown";
    for (boolean isReset : new boolean[] {false, true}) {
      for (String part : List.of(allButLastByte, chunked, withoutLength)) {
        for (int cut = 0; cut <= part.length(); cut++) {
          assertEquals("lost", exchangeTruncated(part.substring(0, cut), isReset), "cut " + cut);
        }
      }
    }
  }

  private static String exchangeTruncated(String part, boolean isReset) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        OutboundClient client = OutboundClient.start(1, 1)) {
      Target.startThread(() -> sendTruncated(server, part, isReset));
      return exchange(client, server.getLocalPort(), "/first");
    }
  }

  private static void sendTruncated(ServerSocket server, String part, boolean isReset) {
    try (Socket socket = server.accept()) {
      Target.readHead(new BufferedInputStream(socket.getInputStream()));
      socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
      if (isReset) {
        socket.setSoLinger(true, 0);
      }
    } catch (IOException ended) {
      return;
    }
  }
}
