package org.sageladder.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sageladder.core.observation.ObservationDigest;
import org.sageladder.core.observation.ObservationDigest.Entry;
import org.sageladder.core.observation.ObservationDigest.Load;
import org.sageladder.core.observation.ZoneObservations;

/** Encoding and decoding of digests, and their cost. */
class ObservationCodecTest {
  private static final int IP_AND_UDP_HEADER_BYTES = 28;
  private static final Entry ENTRY = new Entry(-5, 1L << 63, new Load(9, 27, 1), 496);
  private static final ObservationDigest DIGEST =
      new ObservationDigest(-3, 7, List.of(ENTRY, new Entry(6, 8, null, 0)));

  @Test
  void digestSurvivesARoundTrip() throws Exception {
    assertEquals(DIGEST, ObservationCodec.decode(ObservationCodec.encode(DIGEST)));
  }

  @Test
  void runTimeFactorIsExactToTwoPercentAndBounded() throws Exception {
    assertEquals(2.53, decodedFactor(2.53), 0.05);
    assertEquals(0.4, decodedFactor(0.4), 0.01);
    assertEquals(16, decodedFactor(1_000), 1);
    assertEquals(0.0625, decodedFactor(0), 0.01);
  }

  private static double decodedFactor(double factor) throws Exception {
    Entry entry = new Entry(1, 2, new Load(3, 4, factor), 0);
    ObservationDigest digest = new ObservationDigest(1, 1, List.of(entry));
    Load load = ObservationCodec.decode(ObservationCodec.encode(digest)).entries().get(0).load();
    return load == null ? 0 : load.runTimeFactor();
  }

  /** Guards against a corrupted datagram that throws, or says something else than was sent. */
  @Test
  void corruptedDatagramIsRejectedOrUnchanged() {
    Random random = new Random(20261204);
    byte[] sound = ObservationCodec.encode(DIGEST);
    for (int i = 0; i < 100_000; i++) {
      byte[] bytes = Arrays.copyOf(sound, random.nextInt(4) == 0 ? random.nextInt(200) : 46);
      for (int flips = random.nextInt(4); flips >= 0 && bytes.length > 0; flips--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      }
      try {
        assertEquals(DIGEST, ObservationCodec.decode(bytes));
      } catch (QuotaCodec.MalformedException rejected) {
        // Rejecting the whole datagram is a valid outcome.
      }
    }
  }

  /** A VM of an older build knows quota messages only. */
  @Test
  void olderBuildRejectsDigestAsMalformed() {
    byte[] bytes = ObservationCodec.encode(DIGEST);
    assertThrows(QuotaCodec.MalformedException.class, () -> QuotaCodec.decode(bytes));
  }

  @Test
  void fullDigestFitsIntoOneDatagram() throws Exception {
    List<Entry> entries = Collections.nCopies(ZoneObservations.MAX_ENTRIES, ENTRY);
    byte[] bytes = ObservationCodec.encode(new ObservationDigest(1, 1, entries));
    assertTrue(bytes.length <= ObservationCodec.MAX_DATAGRAM_BYTES, bytes.length + " bytes");
    assertEquals(entries, ObservationCodec.decode(bytes).entries());
  }

  /** A VM among 18 that answers 20 requests a second sends at most 7 KB/s to its peers. */
  @Test
  void sentBytesStayWithinTheBudget() {
    int entriesPerDigest = (int) (20 * ZoneObservations.INTERVAL_MILLIS / 1_000);
    List<Entry> entries = Collections.nCopies(entriesPerDigest, ENTRY);
    byte[] bytes = ObservationCodec.encode(new ObservationDigest(1, 1, entries));
    double digestsPerSecond = 17 * 1_000.0 / ZoneObservations.INTERVAL_MILLIS;
    double bytesPerSecond = digestsPerSecond * (bytes.length + IP_AND_UDP_HEADER_BYTES);
    assertTrue(bytesPerSecond <= 7_000, bytesPerSecond + " bytes/s");
  }
}
