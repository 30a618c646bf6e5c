package org.sageladder.core.spread;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The difference between two payloads as instructions that copy ranges of the older one and insert
 * bytes.
 *
 * <p>An operator's change affects a few places of a contract, one of them its change id, so a delta
 * has a few hundred bytes for a contract of hundreds of thousands.
 *
 * <pre>{@code
 * PayloadDelta delta = PayloadDelta.between(older, newer);
 * delta.applyTo(older); // newer
 * }</pre>
 *
 * @param instructions triples of variable-length numbers (bytes to insert, bytes to copy, offset to
 *     copy from), each followed by the bytes to insert, which precede those copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record PayloadDelta(byte[] instructions) {
  private static final int BLOCK_BYTES = 16;
  private static final int MAX_RESULT_BYTES = Item.MAX_PAYLOAD_BYTES;

  /** Computes the delta that turns {@code older} into {@code newer}. */
  public static PayloadDelta between(byte[] older, byte[] newer) {
    Map<Long, Integer> offsetsByHash = new HashMap<>(2 * older.length / BLOCK_BYTES);
    for (int at = 0; at + BLOCK_BYTES <= older.length; at += BLOCK_BYTES) {
      offsetsByHash.putIfAbsent(blockHash(older, at), at);
    }
    ByteArrayOutputStream instructions = new ByteArrayOutputStream();
    int writtenUpTo = 0;
    int at = 0;
    int expectedOffset = 0;
    while (at + BLOCK_BYTES <= newer.length) {
      int from = findMatch(older, newer, at, expectedOffset, offsetsByHash);
      if (from < 0) {
        at++;
        expectedOffset++;
        continue;
      }
      int backward = 0;
      while (at - backward > writtenUpTo
          && from - backward > 0
          && newer[at - backward - 1] == older[from - backward - 1]) {
        backward++;
      }
      int length = commonLength(older, from, newer, at);
      writeInstruction(
          instructions, newer, writtenUpTo, at - backward, from - backward, length + backward);
      at += length;
      writtenUpTo = at;
      expectedOffset = from + length;
    }
    writeInstruction(instructions, newer, writtenUpTo, newer.length, 0, 0);
    return new PayloadDelta(instructions.toByteArray());
  }

  /**
   * Returns the newer payload, or empty if the delta cannot have been computed from {@code older}.
   */
  public Optional<byte[]> applyTo(byte[] older) {
    ByteBuffer in = ByteBuffer.wrap(instructions);
    ByteArrayOutputStream newer = new ByteArrayOutputStream(older.length);
    while (in.hasRemaining()) {
      long insert = readVarint(in);
      long copy = readVarint(in);
      long from = readVarint(in);
      boolean isValid =
          insert >= 0
              && insert <= in.remaining()
              && copy >= 0
              && from >= 0
              && from + copy <= older.length
              && newer.size() + insert + copy <= MAX_RESULT_BYTES;
      if (!isValid) {
        return Optional.empty();
      }
      newer.write(instructions, in.position(), (int) insert);
      in.position(in.position() + (int) insert);
      newer.write(older, (int) from, (int) copy);
    }
    return Optional.of(newer.toByteArray());
  }

  /**
   * Returns the offset in the older payload of the block at {@code at}, or -1. The position where
   * the last copy ended is tried first.
   */
  private static int findMatch(
      byte[] older, byte[] newer, int at, int expectedOffset, Map<Long, Integer> offsetsByHash) {
    if (expectedOffset + BLOCK_BYTES <= older.length
        && blocksEqual(older, expectedOffset, newer, at)) {
      return expectedOffset;
    }
    Integer from = offsetsByHash.get(blockHash(newer, at));
    return from != null && blocksEqual(older, from, newer, at) ? from : -1;
  }

  private static boolean blocksEqual(byte[] older, int from, byte[] newer, int at) {
    for (int i = 0; i < BLOCK_BYTES; i++) {
      if (older[from + i] != newer[at + i]) {
        return false;
      }
    }
    return true;
  }

  private static int commonLength(byte[] older, int from, byte[] newer, int at) {
    int length = 0;
    while (from + length < older.length
        && at + length < newer.length
        && older[from + length] == newer[at + length]) {
      length++;
    }
    return length;
  }

  private static long blockHash(byte[] bytes, int at) {
    ByteBuffer view = ByteBuffer.wrap(bytes, at, BLOCK_BYTES).order(ByteOrder.LITTLE_ENDIAN);
    return view.getLong() * 0x9E3779B97F4A7C15L + view.getLong();
  }

  private static void writeInstruction(
      ByteArrayOutputStream instructions,
      byte[] newer,
      int writtenUpTo,
      int insertEnd,
      int from,
      int copy) {
    if (insertEnd == writtenUpTo && copy == 0) {
      return;
    }
    writeVarint(instructions, insertEnd - writtenUpTo);
    writeVarint(instructions, copy);
    writeVarint(instructions, from);
    instructions.write(newer, writtenUpTo, insertEnd - writtenUpTo);
  }

  private static void writeVarint(ByteArrayOutputStream out, int number) {
    int remaining = number;
    while (remaining >= 0x80) {
      out.write(remaining | 0x80);
      remaining >>>= 7;
    }
    out.write(remaining);
  }

  /** Reads the next number; returns -1 if there is none. */
  private static long readVarint(ByteBuffer in) {
    long number = 0;
    for (int shift = 0; shift < 35 && in.hasRemaining(); shift += 7) {
      byte next = in.get();
      number |= (long) (next & 0x7F) << shift;
      if (next >= 0) {
        return number;
      }
    }
    return -1;
  }
}
