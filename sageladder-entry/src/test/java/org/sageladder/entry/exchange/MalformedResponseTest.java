package org.sageladder.entry.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

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

  /** Guards against a control character that reaches the caller in the reason phrase. */
  @ParameterizedTest
  @ValueSource(strings = {"O\u0000K", "O\u0001K", "O\rK", "O\u007fK"})
  void controlCharacterInTheReasonPhraseIsLost(String reason) throws Exception {
    assertLostAndClosed("HTTP/1.1 200 " + reason + "\r\nContent-Length: 3\r\n\r\nown");
  }

  /**
   * Guards against a header whose name holds, begins or ends with whitespace or a control
   * character.
   */
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
        "status " + beginning.substring(9, 12),
        SingleExchange.closing(beginning + "Content-Length: 3\r\n\r\nown").firstEvent());
  }

  private static void assertLostAndClosed(String response) throws Exception {
    assertEquals(
        new SingleExchange("lost, sent", true), SingleExchange.awaitingClose(response), response);
  }
}
