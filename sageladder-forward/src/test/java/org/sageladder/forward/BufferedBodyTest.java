package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Guards against a request that is not recognised when its body arrives in other pieces. */
class BufferedBodyTest {
  private static final int LARGE_BODY_BYTES = 200_000;

  private static BufferedBody bodyOf(byte[]... pieces) {
    BufferedBody body = new BufferedBody();
    for (byte[] piece : pieces) {
      body.add(Unpooled.copiedBuffer(piece));
    }
    return body;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void fingerprintDependsOnBytesOnly() {
    long whole = bodyOf(bytes("lot=17&bid=40")).fingerprint();
    assertEquals(whole, bodyOf(bytes("lot=17"), bytes("&bid="), bytes("40")).fingerprint());
    assertNotEquals(whole, bodyOf(bytes("lot=17&bid=41")).fingerprint());
    assertNotEquals(whole, bodyOf().fingerprint());
  }

  @Test
  void fingerprintOfLargeBodyIsTheSameBeforeAndAfterItWasSent() {
    byte[] large = new byte[LARGE_BODY_BYTES];
    Arrays.fill(large, (byte) 'x');
    BufferedBody body = bodyOf(Arrays.copyOf(large, LARGE_BODY_BYTES / 2));
    long whenPlaced = body.fingerprint();
    body.add(Unpooled.copiedBuffer(Arrays.copyOf(large, LARGE_BODY_BYTES / 2)));
    body.release();
    assertEquals(whenPlaced, body.fingerprint());
    assertEquals(whenPlaced, bodyOf(large).fingerprint());
  }
}
