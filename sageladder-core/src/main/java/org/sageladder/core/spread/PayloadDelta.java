package org.sageladder.core.spread;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The difference between two payloads: stretches to copy from the older one and bytes to insert.
 *
 * <p>An operator's change touches a few places of a contract, its change id among them, so this
 * form carries a few hundred bytes where the contract has hundreds of thousands.
 *
 * <pre>{@code
 * PayloadDelta delta = PayloadDelta.between(older, newer);
 * delta.applyTo(older); // newer
 * }</pre>
 *
 * @param instructions triples of variable-length numbers (bytes to insert, bytes to copy, offset to
 *     copy from), each followed by the bytes to insert, which go before those copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record PayloadDelta(byte[] instructions) {
  private static final int BLOCK_BYTES = 16;
  private static final int MAX_RESULT_BYTES = Item.MAX_PAYLOAD_BYTES;

  /** The delta that makes {@code newer} of {@code older}. */
  public static PayloadDelta between(byte[] older, byte[] newer) {
    Map<Long, Integer> blocks = new HashMap<>(2 * older.length / BLOCK_BYTES);
    for (int at = 0; at + BLOCK_BYTES <= older.length; at += BLOCK_BYTES) {
      blocks.putIfAbsent(blockHash(older, at), at);
    }
    ByteArrayOutputStream program = new ByteArrayOutputStream();
    int done = 0;
    int at = 0;
    int expected = 0;
    while (at + BLOCK_BYTES <= newer.length) {
      int from = findMatch(older, newer, at, expected, blocks);
      if (from < 0) {
        at++;
        expected++;
        continue;
      }
      int back = 0;
      while (at - back > done
          && from - back > 0
          && newer[at - back - 1] == older[from - back - 1]) {
        back++;
      }
      int length = commonLength(older, from, newer, at);
      writeInstruction(program, newer, done, at - back, from - back, length + back);
      at += length;
      done = at;
      expected = from + length;
    }
    writeInstruction(program, newer, done, newer.length, 0, 0);
    return new PayloadDelta(program.toByteArray());
  }

  /** The newer payload, or empty where {@code older} cannot be what the delta was made from. */
  public Optional<byte[]> applyTo(byte[] older) {
    ByteBuffer in = ByteBuffer.wrap(instructions);
    ByteArrayOutputStream newer = new ByteArrayOutputStream(older.length);
    while (in.hasRemaining()) {
      long insert = readVarint(in);
      long copy = readVarint(in);
      long from = readVarint(in);
      boolean fits =
          insert >= 0
              && insert <= in.remaining()
              && copy >= 0
              && from >= 0
              && from + copy <= older.length
              && newer.size() + insert + copy <= MAX_RESULT_BYTES;
      if (!fits) {
        return Optional.empty();
      }
      newer.write(instructions, in.position(), (int) insert);
      in.position(in.position() + (int) insert);
      newer.write(older, (int) from, (int) copy);
    }
    return Optional.of(newer.toByteArray());
  }

  /** Where the older payload has the block at {@code at}; tried first where the last copy ended. */
  private static int findMatch(
      byte[] older, byte[] newer, int at, int expected, Map<Long, Integer> blocks) {
    if (expected + BLOCK_BYTES <= older.length && blocksEqual(older, expected, newer, at)) {
      return expected;
    }
    Integer from = blocks.get(blockHash(newer, at));
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
      ByteArrayOutputStream program, byte[] newer, int done, int until, int from, int copy) {
    if (until == done && copy == 0) {
      return;
    }
    writeVarint(program, until - done);
    writeVarint(program, copy);
    writeVarint(program, from);
    program.write(newer, done, until - done);
  }

  private static void writeVarint(ByteArrayOutputStream out, int number) {
    int left = number;
    while (left >= 0x80) {
      out.write(left | 0x80);
      left >>>= 7;
    }
    out.write(left);
  }

  /** The next number, or -1 where there is none. */
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
