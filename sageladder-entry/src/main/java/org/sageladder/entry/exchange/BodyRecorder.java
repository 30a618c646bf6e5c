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
public final class BodyRecorder {
  private final int maxBytes;
  private final ByteArrayOutputStream copy = new ByteArrayOutputStream(256);
  private boolean isTooLarge;

  private BodyRecorder(int limit) {
    this.maxBytes = limit;
  }

  /** A recorder that gives up at more than {@code limit} bytes. */
  public static BodyRecorder upTo(int maxBytes) {
    return new BodyRecorder(maxBytes);
  }

  void add(ByteBuffer bytes) {
    if (isTooLarge || copy.size() + bytes.remaining() > maxBytes) {
      isTooLarge = true;
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
    return isTooLarge ? Optional.empty() : Optional.of(copy.toByteArray());
  }
}
