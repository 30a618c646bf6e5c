package org.sageladder.forward;

import io.netty.util.ByteProcessor;
import org.jspecify.annotations.Nullable;

/**
 * Checks the bytes of one head as they were received, for what the decoder accepts but RFC 9112
 * does not.
 *
 * <ul>
 *   <li>A line that begins with whitespace: the decoder appends it to the header before it,
 *       although it may be a header of its own that frames the body.
 *   <li>A control character: the decoder skips it between words or keeps it in the reason phrase.
 * </ul>
 */
final class RawHeadValidator implements ByteProcessor {
  private static final byte DELETE = 0x7f;

  private byte previous;
  private @Nullable String fault;

  /** Checks the next byte of the head; always returns true, so that all bytes are processed. */
  @Override
  public boolean process(byte next) {
    if (previous == '\n' && (next == ' ' || next == '\t')) {
      fault = "a line of the head begins with whitespace";
    }
    if (isControl(next) || (previous == '\r' && next != '\n')) {
      fault = "a control character in the head";
    }
    previous = next;
    return true;
  }

  /** True for a control character, but for those that separate words or lines. */
  private static boolean isControl(byte b) {
    boolean isSeparator = b == '\t' || b == '\r' || b == '\n';
    return b == DELETE || (b >= 0 && b < ' ' && !isSeparator);
  }

  /** Describes why the head is malformed, or returns null if no byte so far makes it so. */
  @Nullable String fault() {
    return fault;
  }

  /** Forgets the bytes so far; the next one is the first of another head. */
  void reset() {
    previous = 0;
    fault = null;
  }
}
