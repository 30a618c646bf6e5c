package org.sageladder.entry.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
    assertEquals("status 200", firstEvent("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsong"));
  }

  private static String firstEvent(String response) throws Exception {
    return SingleExchange.closing(response).firstEvent();
  }
}
