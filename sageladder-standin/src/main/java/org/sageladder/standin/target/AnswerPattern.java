package org.sageladder.standin.target;

import java.nio.ByteBuffer;

/**
 * Generates the bytes of an answer's body from a seed, so that a body of any size can be produced
 * and verified without being buffered.
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

  /** Returns the byte at the zero-based {@code position} of the body for {@code seed}. */
  public static byte byteAt(long seed, long position) {
    return (byte) (splitMix64(seed, position >>> 3) >>> (8 * (position & 7)));
  }

  /** Fills the rest of {@code buffer} with the bytes from {@code position}. */
  public static void fill(long seed, long position, ByteBuffer buffer) {
    long next = position;
    while (buffer.hasRemaining()) {
      buffer.put(byteAt(seed, next++));
    }
  }

  /** Creates a checker that verifies a body piece by piece. */
  public static Checker checker(long seed) {
    return new Checker(seed);
  }

  private static long splitMix64(long seed, long index) {
    long z = seed + (index + 1) * GOLDEN_GAMMA;
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }

  /** Compares the pieces of a body with the pattern. Not thread-safe. */
  public static final class Checker {
    private final long seed;
    private long position;
    private boolean matches = true;

    private Checker(long seed) {
      this.seed = seed;
    }

    /** Consumes the next piece. */
    public void add(ByteBuffer piece) {
      while (piece.hasRemaining()) {
        matches &= piece.get() == byteAt(seed, position++);
      }
    }

    /** Returns the number of bytes consumed so far. */
    public long length() {
      return position;
    }

    /** Returns whether every byte so far matches the pattern. */
    public boolean matches() {
      return matches;
    }
  }
}
