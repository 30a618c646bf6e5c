package org.sageladder.entry.exchange;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.jspecify.annotations.Nullable;

/**
 * Streams a message body from one connection to another in bounded memory.
 *
 * <p>The receiving connection may read at most its window; each byte written to the sending
 * connection opens the window by one byte. So at most one window (64 KB as configured) of a body of
 * any size is buffered here, whichever side is slower.
 *
 * <p>Lock order: {@code produceLock}, then the lock of the sending connection, then {@code lock}.
 * No channel of either connection is called with {@code lock} held.
 */
public final class BodyPipe {
  private static final int HASHED_PREFIX_BYTES = 1 << 14;

  /** Room for small pieces, such as chunks of one byte. */
  private static final int MIN_BUFFER_BYTES = 1 << 10;

  private final Object produceLock = new Object();
  private final Object lock = new Object();
  private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();
  private @Nullable CapacityChannel source;
  private @Nullable DataStreamChannel sink;
  private int pendingCreditBytes;
  private boolean isDiscarding;
  private boolean isEnded;
  private @Nullable Exception failure;
  private long writtenBytes;
  private long acceptedBytes;
  private long maxBytes = Long.MAX_VALUE;
  private @Nullable BodyRecorder recorder;
  private final HashStream64 prefixHash = Hashing.komihash5_0().hashStream();
  private int prefixBytes;
  private @Nullable Runnable prefixCompleteAction;

  private BodyPipe() {}

  /** Creates an empty pipe for a body that is still to arrive. */
  public static BodyPipe open() {
    return new BodyPipe();
  }

  /** Creates a pipe that contains a complete body. */
  public static BodyPipe of(byte[] body) {
    BodyPipe pipe = new BodyPipe();
    if (body.length > 0) {
      pipe.buffers.add(ByteBuffer.wrap(body));
    }
    pipe.isEnded = true;
    return pipe;
  }

  /** Also copies everything that is accepted from now on to {@code newRecorder}. */
  public void record(BodyRecorder newRecorder) {
    synchronized (lock) {
      recorder = newRecorder;
    }
  }

  /** True once all bytes of the body were accepted. */
  public boolean isComplete() {
    synchronized (lock) {
      return isEnded && failure == null;
    }
  }

  /**
   * Fails the body once more than {@code newMaxBytes} of it have arrived.
   *
   * <p>Guards against an endless chunked body, whose length is not known beforehand: it would
   * occupy a slot of its target until the deadline.
   */
  public void limitLength(long newMaxBytes) {
    synchronized (lock) {
      maxBytes = newMaxBytes;
    }
  }

  /** Sets the channel by which the receiving connection is allowed to read more. */
  void setSource(CapacityChannel channel) throws IOException {
    int credit;
    synchronized (lock) {
      source = channel;
      credit = pendingCreditBytes;
      pendingCreditBytes = 0;
    }
    if (credit > 0) {
      channel.update(credit);
    }
  }

  /** Accepts bytes that the receiving connection has read. */
  void accept(ByteBuffer bytes) throws IOException {
    int length = bytes.remaining();
    DataStreamChannel output = null;
    CapacityChannel credit = null;
    Runnable prefixAction;
    synchronized (lock) {
      acceptedBytes += length;
      if (acceptedBytes > maxBytes) {
        throw new IOException("the body is longer than the " + maxBytes + " bytes allowed");
      }
      if (recorder != null) {
        recorder.add(bytes);
      }
      prefixAction = addToPrefix(bytes) ? takePrefixAction() : null;
      if (isDiscarding) {
        bytes.position(bytes.limit());
        credit = source;
      } else if (length > 0) {
        addCopy(bytes);
        output = sink;
      }
    }
    if (credit != null) {
      credit.update(length);
    }
    if (output != null) {
      output.requestOutput();
    }
    if (prefixAction != null) {
      prefixAction.run();
    }
  }

  /**
   * Appends a copy of {@code bytes} to the last buffer, or to a new one. The first buffer is left
   * as it is, since it may be being written.
   */
  private void addCopy(ByteBuffer bytes) {
    ByteBuffer last = buffers.size() > 1 ? buffers.peekLast() : null;
    if (last == null || last.capacity() - last.limit() < bytes.remaining()) {
      last = ByteBuffer.allocate(Math.max(MIN_BUFFER_BYTES, bytes.remaining())).limit(0);
      buffers.add(last);
    }
    int start = last.limit();
    last.limit(start + bytes.remaining());
    last.slice(start, bytes.remaining()).put(bytes);
  }

  private boolean addToPrefix(ByteBuffer bytes) {
    if (prefixBytes == HASHED_PREFIX_BYTES) {
      return false;
    }
    ByteBuffer view = bytes.duplicate();
    byte[] chunk = new byte[Math.min(view.remaining(), HASHED_PREFIX_BYTES - prefixBytes)];
    view.get(chunk);
    prefixHash.putBytes(chunk);
    prefixBytes += chunk.length;
    return prefixBytes == HASHED_PREFIX_BYTES;
  }

  private @Nullable Runnable takePrefixAction() {
    Runnable action = prefixCompleteAction;
    prefixCompleteAction = null;
    return action;
  }

  /** Runs {@code action} once the first 16 KB, or all of a shorter body, have arrived. */
  public void whenPrefixComplete(Runnable action) {
    synchronized (lock) {
      if (!isEnded && prefixBytes < HASHED_PREFIX_BYTES) {
        prefixCompleteAction = action;
        return;
      }
    }
    action.run();
  }

  /** Hash of the bytes that have arrived, up to the first 16 KB. */
  public long prefixHash() {
    synchronized (lock) {
      return prefixHash.getAsLong();
    }
  }

  /** Marks the body as complete: all its bytes were accepted. */
  void complete() {
    DataStreamChannel output;
    Runnable prefixAction;
    synchronized (lock) {
      isEnded = true;
      output = sink;
      prefixAction = takePrefixAction();
    }
    if (output != null) {
      output.requestOutput();
    }
    if (prefixAction != null) {
      prefixAction.run();
    }
  }

  /**
   * Marks the body as cut off. The next {@link #produce} closes the sending connection, so that its
   * reader sees a broken connection and never a truncated body that looks complete.
   */
  public void fail(Exception cause) {
    DataStreamChannel output;
    synchronized (lock) {
      if (isEnded) {
        // All bytes have arrived, so a failure of the receiving connection no longer matters.
        return;
      }
      if (failure == null) {
        failure = cause;
      }
      output = sink;
    }
    if (output != null) {
      output.requestOutput();
    }
  }

  /**
   * Discards what was read and what is still to arrive, so that an early response can be sent or
   * the rest be read only for the recorder. The sending connection is closed if it would still
   * write the body, because the remainder could look like a short but complete body.
   */
  public void discard() throws IOException {
    int credit = 0;
    CapacityChannel channel;
    synchronized (lock) {
      isDiscarding = true;
      for (ByteBuffer buffer : buffers) {
        credit += buffer.remaining();
      }
      buffers.clear();
      channel = source;
      if (channel == null) {
        pendingCreditBytes += credit;
      }
    }
    if (channel != null && credit > 0) {
      channel.update(credit);
    }
  }

  /** Bytes that can be written now; 1 if only the end or a failure is left to write. */
  int available() {
    synchronized (lock) {
      if (failure != null) {
        return 1;
      }
      int bytes = 0;
      for (ByteBuffer buffer : buffers) {
        bytes += buffer.remaining();
      }
      return bytes == 0 && isEnded ? 1 : bytes;
    }
  }

  /** Bytes written to the sending connection so far. */
  public long writtenBytes() {
    synchronized (lock) {
      return writtenBytes;
    }
  }

  /** Writes as much as the sending connection accepts; throws if the body was cut off. */
  void produce(DataStreamChannel channel) throws IOException {
    synchronized (produceLock) {
      synchronized (lock) {
        sink = channel;
      }
      while (true) {
        ByteBuffer head;
        boolean isAtEnd;
        synchronized (lock) {
          if (failure != null) {
            throw new IOException("body cut off after " + writtenBytes + " bytes", failure);
          }
          if (isDiscarding) {
            throw new IOException("body discarded after " + writtenBytes + " bytes");
          }
          head = buffers.peek();
          isAtEnd = isEnded && head == null;
        }
        if (isAtEnd) {
          channel.endStream(null);
          return;
        }
        if (head == null) {
          return;
        }
        int written = channel.write(head);
        returnCredit(written, head);
        if (head.hasRemaining()) {
          return;
        }
      }
    }
  }

  // discard() may have cleared the queue while this buffer was being written, so only the same
  // buffer is removed, never one with equal content.
  @SuppressWarnings("ReferenceEquality")
  private void returnCredit(int written, ByteBuffer head) throws IOException {
    CapacityChannel channel;
    synchronized (lock) {
      writtenBytes += written;
      if (!head.hasRemaining() && buffers.peek() == head) {
        buffers.remove();
      }
      channel = source;
      if (channel == null) {
        pendingCreditBytes += written;
      }
    }
    if (channel != null && written > 0) {
      channel.update(written);
    }
  }
}
