package org.sageladder.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.entry.exchange.CallerExchange;
import org.sageladder.entry.request.LocalReplies;

/** Tests the connection limit and the idle timeout of a port. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HttpListenerTest {
  private static final Duration LONG_IDLE_TIMEOUT = Duration.ofMinutes(10);

  /** Much longer than the 200 ms between checks for idle connections, as in every valid setting. */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(2);

  private static final int PIPELINED_REQUESTS = 300;

  private static HttpListener open(int connections, Duration idle, CallerExchange.Handler handler)
      throws IOException, InterruptedException {
    return HttpListener.open(
        "127.0.0.1",
        0,
        new ConnectionLimits(1, 4096, connections, idle),
        () -> CallerExchange.create(handler));
  }

  private static void respondNotFound(CallerExchange exchange) {
    LocalReplies.send(exchange, Result.notRun(ResultCode.UNKNOWN_ROUTE, "nothing is served here"));
  }

  private static Socket connect(HttpListener listener) throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), listener.port());
  }

  private static void sendRequest(Socket socket) throws IOException {
    byte[] request = "GET / HTTP/1.1\r\nHost: e\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    socket.getOutputStream().write(request);
  }

  private static String statusLine(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b != '\r'; b = in.read()) {
      if (b < 0) {
        throw new IOException("closed after '" + line + "'");
      }
      line.append((char) b);
    }
    return line.toString();
  }

  /** Guards against pipelined requests that stay unread once earlier ones are answered. */
  @Test
  void allPipelinedRequestsAreAnswered() throws Exception {
    CallerExchange.Handler handler =
        exchange -> ForkJoinPool.commonPool().execute(() -> respondNotFound(exchange));
    try (HttpListener listener = open(9, LONG_IDLE_TIMEOUT, handler);
        Socket caller = connect(listener)) {
      caller.setSoTimeout(60_000);
      for (int i = 0; i < PIPELINED_REQUESTS; i++) {
        sendRequest(caller);
      }
      StringBuilder text = new StringBuilder();
      int answerCount = 0;
      while (answerCount < PIPELINED_REQUESTS) {
        text.append((char) caller.getInputStream().read());
        if (text.toString().endsWith("HTTP/1.1 404")) {
          answerCount++;
          text.setLength(0);
        }
      }
    }
  }

  /** Guards against a caller that is reset while it is still sending what was refused. */
  @Test
  void callerThatIsStillSendingItsHeadIsNotReset() throws Exception {
    try (HttpListener listener = open(9, LONG_IDLE_TIMEOUT, HttpListenerTest::respondNotFound);
        Socket caller = connect(listener)) {
      sendOversizedHead(caller);
      assertEquals("HTTP/1.1 431 Request Header Fields Too Large", statusLine(caller));
      for (int i = 0; i < 20; i++) {
        sendOversizedHead(caller);
      }
    }
  }

  /** Guards against a request that nobody sent, made of a part of one and of the next one. */
  @Test
  void partOfRequestIsNoPartOfTheNext() throws Exception {
    String part = "GET /a HTTP/1.1\r\nNote: n\r\nHost: e\r\n\r\n";
    String next = "GET /b HTTP/1.1\r\nHost: e\r\n\r\n";
    BlockingQueue<String> handled = new LinkedBlockingQueue<>();
    CallerExchange.Handler handler =
        exchange -> {
          handled.add(exchange.request().getMethod() + " " + exchange.request().getPath());
          respondNotFound(exchange);
        };
    try (HttpListener listener = open(9, LONG_IDLE_TIMEOUT, handler)) {
      for (int cut = 0; cut <= part.length(); cut++) {
        try (Socket caller = connect(listener)) {
          caller
              .getOutputStream()
              .write((part.substring(0, cut) + next).getBytes(StandardCharsets.US_ASCII));
          boolean isApart = cut == 0 || cut == part.length();
          assertEquals(isApart, statusLine(caller).startsWith("HTTP/1.1 404 "), "cut " + cut);
        }
      }
      // The last connection carries both requests; the second may be handled later.
      assertEquals("GET /b", handled.take());
      assertEquals("GET /a", handled.take());
      assertEquals("GET /b", handled.take());
      assertTrue(handled.isEmpty(), "a merged request was handled");
    }
  }

  /** Guards against a header that a target would read under another name than its caller sent. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "X Note: n", "X\tNote: n", "X\0Note: n", "X\1Note: n", "X\177Note: n", "X-Note : n",
            "X-Note\t: n",
        " X-Note: n", "\tX-Note: n", ": n", "X/Note: n", "X-Note", "Content-Length : 3",
            "Content Length: 3",
        " Transfer-Encoding: chunked", "X-Note: a\0b", "X-Note: a\1b", "X-Note: a\rb"
      })
  void requestWithAnInvalidHeaderNameIsRejected(String line) throws Exception {
    BlockingQueue<String> handled = new LinkedBlockingQueue<>();
    CallerExchange.Handler handler =
        exchange -> {
          handled.add(exchange.request().getPath());
          respondNotFound(exchange);
        };
    try (HttpListener listener = open(9, LONG_IDLE_TIMEOUT, handler);
        Socket caller = connect(listener)) {
      String request = "GET / HTTP/1.1\r\nHost: e\r\n" + line + "\r\n\r\n";
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      assertEquals("HTTP/1.1 400 Bad Request", statusLine(caller));
      assertTrue(handled.isEmpty(), "the request was handled");
    }
  }

  /** Guards against callers who hold a connection open by not closing it after a refusal. */
  @Test
  void connectionThatTheCallerDoesNotCloseEnds() throws Exception {
    try (HttpListener listener = open(9, LONG_IDLE_TIMEOUT, HttpListenerTest::respondNotFound);
        Socket caller = connect(listener)) {
      sendOversizedHead(caller);
      while (listener.openConnectionCount() > 0) {
        Thread.sleep(20);
      }
    }
  }

  private static void sendOversizedHead(Socket caller) throws IOException {
    String head = "GET / HTTP/1.1\r\nX-Long: " + "x".repeat(10_000) + "\r\n\r\n";
    caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
  }

  // A crawler keeps opening connections. Without a limit, the entry VM accepted them until it had
  // no descriptor left for targets, and every caller got "no target". Connections beyond the limit
  // must be closed at once, the others must still be served, and a closed connection must make room
  // for a new one.
  @Test
  void connectionsBeyondTheLimitAreClosedAndOthersServed() throws Exception {
    try (HttpListener listener = open(2, LONG_IDLE_TIMEOUT, HttpListenerTest::respondNotFound);
        Socket first = connect(listener)) {
      sendRequest(first);
      assertEquals("HTTP/1.1 404 Not Found", statusLine(first));
      try (Socket second = connect(listener)) {
        sendRequest(second);
        assertEquals("HTTP/1.1 404 Not Found", statusLine(second));
        try (Socket third = connect(listener)) {
          assertThrows(
              IOException.class,
              () -> {
                sendRequest(third);
                statusLine(third);
              });
        }
        assertEquals(1, listener.refusedConnectionCount());
      }
      while (listener.openConnectionCount() > 1) {
        Thread.sleep(1);
      }
      try (Socket fourth = connect(listener)) {
        sendRequest(fourth);
        assertEquals("HTTP/1.1 404 Not Found", statusLine(fourth));
      }
    }
  }

  // Callers that vanish without closing their connection each occupy a descriptor, so a connection
  // without traffic is closed after the idle timeout. A caller whose request waits for a slot much
  // longer than that has no traffic on its connection either, but must still get its response.
  @Test
  void idleConnectionsAreClosedUnlessARequestAwaitsItsResponse() throws Exception {
    BlockingQueue<CallerExchange> received = new LinkedBlockingQueue<>();
    try (HttpListener listener = open(10, IDLE_TIMEOUT, received::add);
        Socket caller = connectWithPendingRequest(listener, received)) {
      CallerExchange pending = received.take();
      try (Socket idle = connect(listener)) {
        assertTrue(idle.getInputStream().read() < 0, "closed by the entry VM");
      }
      respondNotFound(pending);
      assertEquals("HTTP/1.1 404 Not Found", statusLine(caller));
    }
  }

  /**
   * Retries on a new connection if the idle timeout passed before the request was sent, as may
   * happen on a busy machine.
   */
  private static Socket connectWithPendingRequest(
      HttpListener listener, BlockingQueue<CallerExchange> received) throws IOException {
    while (true) {
      Socket socket = connect(listener);
      socket.setSoTimeout(10);
      if (isReceived(socket, received)) {
        socket.setSoTimeout(0);
        return socket;
      }
      socket.close();
    }
  }

  private static boolean isReceived(Socket socket, BlockingQueue<CallerExchange> received) {
    try {
      sendRequest(socket);
      while (received.isEmpty()) {
        if (isClosed(socket)) {
          return false;
        }
      }
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private static boolean isClosed(Socket socket) throws IOException {
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    }
  }
}
