package org.sageladder.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sageladder.core.quota.QuotaMessage;
import org.sageladder.core.quota.QuotaMessage.TokenGrant;
import org.sageladder.core.quota.QuotaMessage.UsageReport;

/** Encoding and decoding of quota messages. */
class QuotaCodecTest {
  private static final QuotaMessage REPORT = new UsageReport("koor õ", 7, 900, 12, 3, 2);
  private static final QuotaMessage GRANT = new TokenGrant("koor õ", 7, true, 3, 250);

  @Test
  void messagesSurviveARoundTrip() throws Exception {
    for (QuotaMessage message : new QuotaMessage[] {REPORT, GRANT}) {
      assertEquals(message, QuotaCodec.decode(QuotaCodec.encode(message)));
    }
  }

  /** Guards against a malformed datagram that throws an unexpected exception on the event loop. */
  @Test
  void corruptedDatagramsAreRejectedOrDecodedConsistently() throws Exception {
    Random random = new Random(20261203);
    for (int i = 0; i < 100_000; i++) {
      byte[] bytes = QuotaCodec.encode(i % 2 == 0 ? REPORT : GRANT);
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      int length = random.nextInt(4) == 0 ? random.nextInt(bytes.length) : bytes.length;
      try {
        QuotaMessage decoded = QuotaCodec.decode(Arrays.copyOf(bytes, length));
        assertEquals(decoded, QuotaCodec.decode(QuotaCodec.encode(decoded)));
      } catch (QuotaCodec.MalformedException rejected) {
        // Rejecting the whole datagram is a valid outcome.
      }
    }
  }

  @Test
  void tooLongNameIsRejected() {
    assertThrows(
        QuotaCodec.MalformedException.class,
        () -> QuotaCodec.encode(new TokenGrant("x".repeat(600), 1, true, 0, 0)));
  }
}
