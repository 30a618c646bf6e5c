package org.sageladder.standin.target;

import java.nio.ByteBuffer;

/**
 * The bytes of an answer's body, worked out from a seed, so that a body of any size is made and
 * checked without being held.
 *
 * <pre>{@code
 * AnswerPattern.Checker checker = AnswerPattern.checker(checksumOfMyRequest);
 * checker.add(piece);
 * boolean mine = checker.matches();
 * }</pre>
 */
public final class AnswerPattern {
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  private AnswerPattern() {}

  /** The byte at {@code position}, counted from 0, of the body with {@code seed}. */
  public static byte byteAt(long seed, long position) {
    return (byte) (splitMix64(seed, position >>> 3) >>> (8 * (position & 7)));
  }

  /** Fills the space left in {@code target} with the bytes from {@code position} on. */
  public static void fill(long seed, long position, ByteBuffer buffer) {
    long at = position;
    while (buffer.hasRemaining()) {
      buffer.put(byteAt(seed, at++));
    }
  }

  /** Checks a body piece by piece. */
  public static Checker checker(long seed) {
    return new Checker(seed);
  }

  private static long splitMix64(long seed, long index) {
    long z = seed + (index + 1) * GOLDEN_GAMMA;
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }

  /** Compares pieces with the pattern as they come; for one thread. */
  public static final class Checker {
    private final long seed;
    private long position;
    private boolean matches = true;

    private Checker(long seed) {
      this.seed = seed;
    }

    /** Takes the next piece and empties it. */
    public void add(ByteBuffer piece) {
      while (piece.hasRemaining()) {
        matches &= piece.get() == byteAt(seed, position++);
      }
    }

    /** Bytes seen so far. */
    public long length() {
      return position;
    }

    /** True while every byte was the pattern's. */
    public boolean matches() {
      return matches;
    }
  }
}
