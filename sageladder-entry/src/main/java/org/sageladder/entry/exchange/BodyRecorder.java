package org.sageladder.entry.exchange;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Keeps a copy of a body while it is forwarded, up to a maximum size.
 *
 * <p>Not thread-safe: the {@link BodyPipe} that feeds it does so under its own lock, and it is read
 * after the end of the body.
 */
public final class BodyRecorder {
  private final int maxBytes;
  private final ByteArrayOutputStream copy = new ByteArrayOutputStream(256);
  private boolean isTooLarge;

  private BodyRecorder(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Creates a recorder that drops a body of more than {@code maxBytes}. */
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
    byte[] chunk = new byte[view.remaining()];
    view.get(chunk);
    copy.writeBytes(chunk);
  }

  /** The complete body, or empty if it was too large. */
  public Optional<byte[]> body() {
    return isTooLarge ? Optional.empty() : Optional.of(copy.toByteArray());
  }
}
