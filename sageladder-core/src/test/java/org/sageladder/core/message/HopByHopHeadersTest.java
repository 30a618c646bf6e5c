package org.sageladder.core.message;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which headers are hop-by-hop. */
class HopByHopHeadersTest {
  /**
   * A caller may list a header of its own in {@code Connection}; if it were forwarded, it would
   * reach targets.
   */
  @Test
  void headersListedInConnectionAreHopByHop() {
    HopByHopHeaders headers = HopByHopHeaders.of(List.of("close, X-Hop", "x-other"));
    assertTrue(headers.contains("x-hop"));
    assertTrue(headers.contains("X-Other"));
    assertFalse(headers.contains("X-Third"));
  }

  /** Guards against a body that is sent on without its length and taken for another request. */
  @Test
  void lengthAndHostAreForwardedAlthoughTheyAreListed() {
    HopByHopHeaders headers = HopByHopHeaders.of(List.of("Content-Length, host"));
    assertFalse(headers.contains("Content-Length"));
    assertFalse(headers.contains("Host"));
    assertTrue(headers.isListed("content-length"));
    assertFalse(headers.isListed("Transfer-Encoding"));
  }

  @Test
  void standardHopByHopHeadersAreRecognised() {
    HopByHopHeaders headers = HopByHopHeaders.of(List.of());
    assertTrue(headers.contains("Transfer-Encoding"));
    assertTrue(headers.contains("keep-alive"));
    assertFalse(headers.contains("Content-Length"));
  }
}
