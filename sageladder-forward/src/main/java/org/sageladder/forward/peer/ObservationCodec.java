package org.sageladder.forward.peer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.observation.ObservationDigest;
import org.sageladder.core.observation.ObservationDigest.Entry;
import org.sageladder.core.observation.ObservationDigest.Load;
import org.sageladder.forward.peer.QuotaCodec.MalformedException;

/**
 * Encodes digests of observations: version, kind, checksum, process start, sequence number, then
 * the entries, which all have the same length.
 *
 * <p>Each entry is sent to each VM of the zone, so its numbers are shortened: ages to steps of
 * eight milliseconds, run time factors to steps of 1/32 of a doubling.
 */
final class ObservationCodec {
  private static final byte VERSION = 1;

  /** Distinguishes digests from the kinds of {@link QuotaCodec}. */
  private static final byte DIGEST = 3;

  private static final int CHECKSUM_OFFSET = 2;
  private static final int CHECKED_OFFSET = CHECKSUM_OFFSET + Integer.BYTES;
  private static final int HEADER_BYTES = CHECKED_OFFSET + 2 * Integer.BYTES;
  private static final int ENTRY_BYTES = Integer.BYTES + Long.BYTES + 4;

  /** Larger datagrams may be fragmented. */
  static final int MAX_DATAGRAM_BYTES = 1_200;

  private static final int MAX_BYTE = 255;
  private static final int AGE_STEP_MILLIS = 8;
  private static final int NO_LOAD = 0;
  private static final int USUAL_FACTOR = 128;
  private static final double FACTOR_STEPS_PER_DOUBLING = 32;

  private ObservationCodec() {}

  /** Returns true if the datagram is a digest, of any version. */
  static boolean isDigest(byte[] bytes) {
    return bytes.length > 1 && bytes[1] == DIGEST;
  }

  static byte[] encode(ObservationDigest digest) {
    ByteBuffer out = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
    out.put(VERSION).put(DIGEST).putInt(0);
    out.putInt(digest.processStart()).putInt(digest.sequence());
    for (Entry entry : digest.entries()) {
      if (out.remaining() < ENTRY_BYTES) {
        break;
      }
      putEntry(out, entry);
    }
    byte[] bytes = Arrays.copyOf(out.array(), out.position());
    ByteBuffer.wrap(bytes).putInt(CHECKSUM_OFFSET, checksum(bytes));
    return bytes;
  }

  private static void putEntry(ByteBuffer out, Entry entry) {
    Load load = entry.load();
    out.putInt(entry.targetHash()).putLong(entry.object());
    out.put((byte) Math.min(MAX_BYTE, entry.ageMillis() / AGE_STEP_MILLIS));
    out.put((byte) (load == null ? NO_LOAD : encodeFactor(load.runTimeFactor())));
    out.put((byte) (load == null ? 0 : Math.min(MAX_BYTE, load.running())));
    out.put((byte) (load == null ? 0 : Math.min(MAX_BYTE, load.waiting())));
  }

  static ObservationDigest decode(byte[] bytes) throws MalformedException {
    int entryBytes = bytes.length - HEADER_BYTES;
    if (bytes.length > MAX_DATAGRAM_BYTES || entryBytes < 0 || entryBytes % ENTRY_BYTES != 0) {
      throw new MalformedException("invalid length of " + bytes.length + " bytes");
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    byte version = in.get();
    if (version != VERSION || in.get() != DIGEST) {
      throw new MalformedException("unsupported version " + version + " or kind");
    }
    if (in.getInt() != checksum(bytes)) {
      throw new MalformedException("invalid checksum");
    }
    int processStart = in.getInt();
    int sequence = in.getInt();
    List<Entry> entries = new ArrayList<>(entryBytes / ENTRY_BYTES);
    while (in.hasRemaining()) {
      entries.add(readEntry(in));
    }
    return new ObservationDigest(processStart, sequence, entries);
  }

  private static Entry readEntry(ByteBuffer in) {
    int targetHash = in.getInt();
    long object = in.getLong();
    int ageMillis = readUnsignedByte(in) * AGE_STEP_MILLIS;
    int factor = readUnsignedByte(in);
    int running = readUnsignedByte(in);
    int waiting = readUnsignedByte(in);
    return new Entry(targetHash, object, readLoad(running, waiting, factor), ageMillis);
  }

  private static @Nullable Load readLoad(int running, int waiting, int factor) {
    return factor == NO_LOAD ? null : new Load(running, waiting, decodeFactor(factor));
  }

  private static int readUnsignedByte(ByteBuffer in) {
    return Byte.toUnsignedInt(in.get());
  }

  private static int checksum(byte[] bytes) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, 0, CHECKSUM_OFFSET);
    crc.update(bytes, CHECKED_OFFSET, bytes.length - CHECKED_OFFSET);
    return (int) crc.getValue();
  }

  private static int encodeFactor(double factor) {
    double doublings = Math.log(factor) / Math.log(2);
    long steps = Math.round(USUAL_FACTOR + FACTOR_STEPS_PER_DOUBLING * doublings);
    return (int) Math.max(NO_LOAD + 1, Math.min(MAX_BYTE, steps));
  }

  private static double decodeFactor(int encoded) {
    return Math.pow(2, (encoded - USUAL_FACTOR) / FACTOR_STEPS_PER_DOUBLING);
  }
}
