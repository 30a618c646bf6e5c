package org.sageladder.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.util.function.Consumer;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Passes each line that is read from a buffer to an observer.
 *
 * <p>Lines must be read into an empty {@link CharArrayBuffer}, as the library's parsers do.
 */
final class LineObservingBuffer implements SessionInputBuffer {
  private final SessionInputBuffer buffer;
  private final Consumer<CharArrayBuffer> observer;

  LineObservingBuffer(SessionInputBuffer buffer, Consumer<CharArrayBuffer> observer) {
    this.buffer = buffer;
    this.observer = observer;
  }

  @Override
  public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
    boolean isRead = buffer.readLine(line, endOfStream);
    if (isRead) {
      observer.accept(line);
    }
    return isRead;
  }

  @Override
  public boolean hasData() {
    return buffer.hasData();
  }

  @Override
  public int length() {
    return buffer.length();
  }

  @Override
  public int fill(ReadableByteChannel source) throws IOException {
    return buffer.fill(source);
  }

  @Override
  public int read() {
    return buffer.read();
  }

  @Override
  public int read(ByteBuffer destination, int maxLength) {
    return buffer.read(destination, maxLength);
  }

  @Override
  public int read(ByteBuffer destination) {
    return buffer.read(destination);
  }

  @Override
  public int read(WritableByteChannel destination, int maxLength) throws IOException {
    return buffer.read(destination, maxLength);
  }

  @Override
  public int read(WritableByteChannel destination) throws IOException {
    return buffer.read(destination);
  }
}
