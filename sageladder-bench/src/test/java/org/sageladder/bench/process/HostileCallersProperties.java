package org.sageladder.bench.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.sageladder.core.result.ResultCode;
import org.sageladder.standin.target.ServiceTime;

/**
 * Sends arbitrary bytes to the callers' port of a real process. Each connection must get a response
 * whose result code matches its HTTP status, and a valid request on another connection must be
 * answered afterwards.
 */
class HostileCallersProperties {
  private static final Pattern ANSWER =
      Pattern.compile(
          "HTTP/1\\.1 (\\d{3}) .*?\r\nSageladder-Result: (\\d+) (\\w+)\r\n", Pattern.DOTALL);
  private static final int VERSION_NOT_SUPPORTED = 505;
  private static final String CONTINUE = "HTTP/1.1 100 ";
  private static final String END = "\r\n\r\n";
  // The empty line ends an unfinished head. The invalid request after it forces a response if the
  // server skips empty lines before a request.
  private static final String COMPLETION = END + "x" + END;
  private static final List<String> HEADERS =
      List.of(
          "Sageladder-Deadline-Millis",
          "Sageladder-Permit",
          "Sageladder-Idempotency-Key",
          "Sageladder-Request-Id",
          "Sageladder-Forwarded-By",
          "Sageladder-Dispatch",
          "Content-Length",
          "Expect",
          "Host");
  private static final List<String> PATHS =
      List.of(
          "/v1/request/kalnins-dauge/lot-listing/lots?work=damaged",
          "/v1/look-up?contract=kalnins-dauge&service=bid&block=12");

  private static RunFolder folder;
  private static ProcessCluster cluster;
  private static Socket validConnection;

  @BeforeContainer
  static void start() throws Exception {
    folder = RunFolder.create("hostile-callers");
    ClusterPlan plan =
        ClusterPlan.of(LongTimeoutContract.kalninsDauge())
            .zones(List.of("riga-1"))
            .targetCustomizer(target -> target.serviceTime(ServiceTime.fixed(0)));
    cluster = ProcessCluster.start(plan, folder.path());
    cluster.awaitServing(Duration.ofMinutes(2));
    validConnection = connect();
  }

  @AfterContainer
  static void stop() throws IOException {
    validConnection.close();
    cluster.close();
    folder.close();
  }

  private static Socket connect() throws IOException {
    Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), cluster.entries().get(0).callersPort());
    socket.setTcpNoDelay(true);
    return socket;
  }

  // A port scanner or a client of another protocol sends arbitrary bytes.
  @Property(tries = 200, seed = "20261202")
  void arbitraryBytesGetAResultCode(@ForAll @Size(max = 400) byte[] bytes) throws Exception {
    assertAnsweredWithResultCode(bytes);
  }

  // One byte of a valid request is corrupted, and the request may be truncated there.
  @Property(tries = 300, seed = "20261202")
  void corruptedRequestGetsAResultCode(
      @ForAll @IntRange(max = 1) int pathIndex,
      @ForAll int position,
      @ForAll byte replacement,
      @ForAll boolean isTruncated)
      throws Exception {
    byte[] request =
        ("GET "
                + PATHS.get(pathIndex)
                + " HTTP/1.1\r\nHost: e\r\nSageladder-Deadline-Millis: 300000"
                + END)
            .getBytes(StandardCharsets.ISO_8859_1);
    int index = Math.floorMod(position, request.length);
    request[index] = replacement;
    assertAnsweredWithResultCode(isTruncated ? Arrays.copyOf(request, index) : request);
  }

  // A hostile caller sends arbitrary text in a header that the entry VM reads. No bid may be
  // executed, since permits cannot be guessed.
  @Property(tries = 200, seed = "20261202")
  void arbitraryHeaderValueGetsAResultCodeWithoutExecution(
      @ForAll @IntRange(max = 8) int headerIndex,
      @ForAll @CharRange(from = ' ', to = 'ÿ') @StringLength(max = 600) String value)
      throws Exception {
    String request =
        "POST /v1/request/kalnins-dauge/bid/bids?work=hostile HTTP/1.1\r\n"
            + HEADERS.get(headerIndex)
            + ": "
            + value
            + "\r\nHost: e\r\nSageladder-Deadline-Millis: 300000"
            + END;
    assertAnsweredWithResultCode(request.getBytes(StandardCharsets.ISO_8859_1));
    assertEquals(0, cluster.executionCounts().getOrDefault("hostile", 0));
  }

  /**
   * Sends the bytes, followed by a suffix that forces a response if the entry VM is waiting for
   * more input.
   */
  private static void assertAnsweredWithResultCode(byte[] bytes) throws IOException {
    try (Socket connection = connect()) {
      // Uses a single write, since the server may respond and close before it has read everything.
      ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.writeBytes(bytes);
      request.writeBytes(COMPLETION.getBytes(StandardCharsets.US_ASCII));
      connection.getOutputStream().write(request.toByteArray());
      String answer = readHead(connection);
      assertResultCodeMatchesStatus(answer.startsWith(CONTINUE) ? readHead(connection) : answer);
    }
    validConnection
        .getOutputStream()
        .write(
            ("GET " + PATHS.get(1) + " HTTP/1.1\r\nHost: e" + END)
                .getBytes(StandardCharsets.US_ASCII));
    String answer = readHead(validConnection);
    assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
    int length = Integer.parseInt(answer.replaceAll("(?s).*Content-Length: (\\d+).*", "$1"));
    assertEquals(length, validConnection.getInputStream().readNBytes(length).length);
  }

  private static void assertResultCodeMatchesStatus(String answer) {
    Matcher matcher = ANSWER.matcher(answer);
    assertTrue(matcher.find(), answer);
    ResultCode code = ResultCode.valueOf(matcher.group(3));
    assertEquals(code.number(), Integer.parseInt(matcher.group(2)), answer);
    int status = Integer.parseInt(matcher.group(1));
    boolean isUnsupportedVersion =
        code == ResultCode.MALFORMED_REQUEST && status == VERSION_NOT_SUPPORTED;
    assertTrue(status == code.httpStatus() || isUnsupportedVersion, answer);
  }

  private static String readHead(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0; b = in.read()) {
      head.write(b);
      String text = head.toString(StandardCharsets.ISO_8859_1);
      if (text.endsWith(END)) {
        return text;
      }
    }
    return head.toString(StandardCharsets.ISO_8859_1);
  }
}
