package org.sageladder.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sageladder.core.quota.QuotaMessage;
import org.sageladder.core.quota.QuotaMessage.TokenGrant;
import org.sageladder.core.quota.QuotaMessage.UsageReport;

/** Quota messages as bytes. */
class QuotaCodecTest {
  private static final QuotaMessage REPORT = new UsageReport("koor õ", 7, 900, 12, 3, 2);
  private static final QuotaMessage GRANT = new TokenGrant("koor õ", 7, true, 3, 250);

  @Test
  void messagesSurviveARoundTrip() throws Exception {
    for (QuotaMessage message : new QuotaMessage[] {REPORT, GRANT}) {
      assertEquals(message, QuotaCodec.decode(QuotaCodec.encode(message)));
    }
  }

  /** Guards against a datagram of another writer that ends the event loop's task. */
  @Test
  void corruptedDatagramsAreRejectedOrDecodedConsistently() throws Exception {
    Random random = new Random(20261203);
    for (int i = 0; i < 100_000; i++) {
      byte[] bytes = QuotaCodec.encode(i % 2 == 0 ? REPORT : GRANT);
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      int length = random.nextInt(4) == 0 ? random.nextInt(bytes.length) : bytes.length;
      try {
        QuotaMessage read = QuotaCodec.decode(Arrays.copyOf(bytes, length));
        assertEquals(read, QuotaCodec.decode(QuotaCodec.encode(read)));
      } catch (QuotaCodec.MalformedException refused) {
        // Refused as a whole, which is what the test asks for.
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
