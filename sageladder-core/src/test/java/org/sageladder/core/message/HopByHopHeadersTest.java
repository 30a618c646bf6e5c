package org.sageladder.core.message;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which headers end at a connection. */
class HopByHopHeadersTest {
  /**
   * A caller names a header of its own as one of its connection; passed on, it would reach targets.
   */
  @Test
  void headersListedInConnectionAreHopByHop() {
    HopByHopHeaders headers = HopByHopHeaders.of(List.of("close, X-Hop", "x-other"));
    assertTrue(headers.contains("x-hop"));
    assertTrue(headers.contains("X-Other"));
    assertFalse(headers.contains("X-Third"));
  }

  @Test
  void standardHopByHopHeadersAreRecognised() {
    HopByHopHeaders headers = HopByHopHeaders.of(List.of());
    assertTrue(headers.contains("Transfer-Encoding"));
    assertTrue(headers.contains("keep-alive"));
    assertFalse(headers.contains("Content-Length"));
  }
}
