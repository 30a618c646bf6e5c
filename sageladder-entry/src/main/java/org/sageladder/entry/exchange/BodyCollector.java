package org.sageladder.entry.exchange;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Consumer;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.jspecify.annotations.Nullable;

/** Reads a complete body into memory, for messages between entry VMs. */
public final class BodyCollector implements DataStreamChannel {
  private final BodyPipe body;
  private final int maxBytes;
  private final Consumer<byte[]> whenComplete;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  private BodyCollector(BodyPipe body, int maxBytes, Consumer<byte[]> whenComplete) {
    this.body = body;
    this.maxBytes = maxBytes;
    this.whenComplete = whenComplete;
  }

  /**
   * Calls {@code whenComplete} once with the complete body; never for a body that is cut off, and
   * with an empty one if it is larger than {@code maxBytes}.
   */
  public static void collect(BodyPipe body, int maxBytes, Consumer<byte[]> whenComplete) {
    new BodyCollector(body, maxBytes, whenComplete).requestOutput();
  }

  @Override
  public void requestOutput() {
    try {
      body.produce(this);
    } catch (IOException ignored) {
      // The body was cut off: its exchange reports the failure, and the message counts as never
      // sent.
    }
  }

  @Override
  public int write(ByteBuffer source) {
    int length = source.remaining();
    byte[] chunk = new byte[length];
    source.get(chunk);
    if (bytes.size() + length <= maxBytes) {
      bytes.writeBytes(chunk);
    }
    return length;
  }

  @Override
  public void endStream() {
    endStream(null);
  }

  @Override
  public void endStream(@Nullable List<? extends Header> trailers) {
    whenComplete.accept(bytes.toByteArray());
  }
}
