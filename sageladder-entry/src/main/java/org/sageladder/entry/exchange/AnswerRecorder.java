package org.sageladder.entry.exchange;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Keeps a copy of a body while it passes, up to a limit.
 *
 * <p>Not safe for several threads: the {@link BodyPipe} that feeds it does so under its own lock,
 * and it is read after the body's end.
 */
public final class AnswerRecorder {
  private final int limit;
  private final ByteArrayOutputStream copy = new ByteArrayOutputStream(256);
  private boolean tooLarge;

  private AnswerRecorder(int limit) {
    this.limit = limit;
  }

  /** A recorder that gives up at more than {@code limit} bytes. */
  public static AnswerRecorder upTo(int limit) {
    return new AnswerRecorder(limit);
  }

  void add(ByteBuffer bytes) {
    if (tooLarge || copy.size() + bytes.remaining() > limit) {
      tooLarge = true;
      copy.reset();
      return;
    }
    ByteBuffer view = bytes.duplicate();
    byte[] part = new byte[view.remaining()];
    view.get(part);
    copy.writeBytes(part);
  }

  /** The whole body, or empty where it was larger than the limit. */
  public Optional<byte[]> body() {
    return tooLarge ? Optional.empty() : Optional.of(copy.toByteArray());
  }
}
