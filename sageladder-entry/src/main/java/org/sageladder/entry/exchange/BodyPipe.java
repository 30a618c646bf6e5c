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
 * Carries a message body from one connection to another in bounded memory.
 *
 * <p>The receiving connection may read no further than its window; each byte written to the sending
 * connection opens the window by one byte. So a body of any size holds at most one window (64 KB as
 * configured) here, whichever side is slower.
 *
 * <p>Lock order: {@code produceLock}, then the sending connection's own lock, then {@code lock}. No
 * channel of either connection is called with {@code lock} held.
 */
public final class BodyPipe {
  private static final int HASHED_PREFIX_BYTES = 1 << 14;

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

  /** An empty pipe whose body is still to come. */
  public static BodyPipe open() {
    return new BodyPipe();
  }

  /** A pipe that holds a whole body already. */
  public static BodyPipe of(byte[] body) {
    BodyPipe pipe = new BodyPipe();
    if (body.length > 0) {
      pipe.buffers.add(ByteBuffer.wrap(body));
    }
    pipe.isEnded = true;
    return pipe;
  }

  /** Copies all that is accepted from now on to {@code to} as well. */
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
   * Fails the body once more than {@code bytes} of it have come.
   *
   * <p>Guards against a chunked body without end, of which nothing tells the length beforehand: it
   * would hold its target's slot until the deadline.
   */
  public void limitLength(long newMaxBytes) {
    synchronized (lock) {
      maxBytes = newMaxBytes;
    }
  }

  /** Names the channel by which the receiving connection is told to read on. */
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

  /** Takes bytes that the receiving connection has read. */
  void accept(ByteBuffer bytes) throws IOException {
    int length = bytes.remaining();
    DataStreamChannel wake = null;
    CapacityChannel credit = null;
    Runnable known;
    synchronized (lock) {
      acceptedBytes += length;
      if (acceptedBytes > maxBytes) {
        throw new IOException("the body is longer than the " + maxBytes + " bytes allowed");
      }
      if (recorder != null) {
        recorder.add(bytes);
      }
      known = addToPrefix(bytes) ? takePrefixAction() : null;
      if (isDiscarding) {
        bytes.position(bytes.limit());
        credit = source;
      } else if (length > 0) {
        ByteBuffer copy = ByteBuffer.allocate(length);
        copy.put(bytes).flip();
        buffers.add(copy);
        wake = sink;
      }
    }
    if (credit != null) {
      credit.update(length);
    }
    if (wake != null) {
      wake.requestOutput();
    }
    if (known != null) {
      known.run();
    }
  }

  private boolean addToPrefix(ByteBuffer bytes) {
    if (prefixBytes == HASHED_PREFIX_BYTES) {
      return false;
    }
    ByteBuffer view = bytes.duplicate();
    byte[] part = new byte[Math.min(view.remaining(), HASHED_PREFIX_BYTES - prefixBytes)];
    view.get(part);
    prefixHash.putBytes(part);
    prefixBytes += part.length;
    return prefixBytes == HASHED_PREFIX_BYTES;
  }

  private @Nullable Runnable takePrefixAction() {
    Runnable action = prefixCompleteAction;
    prefixCompleteAction = null;
    return action;
  }

  /** Runs {@code action} once the first 16 KB, or the whole of a shorter body, have come. */
  public void whenPrefixComplete(Runnable action) {
    synchronized (lock) {
      if (!isEnded && prefixBytes < HASHED_PREFIX_BYTES) {
        prefixCompleteAction = action;
        return;
      }
    }
    action.run();
  }

  /** Hash of as much of the first 16 KB as has come. */
  public long prefixHash() {
    synchronized (lock) {
      return prefixHash.getAsLong();
    }
  }

  /** Marks the body as whole: all its bytes were accepted. */
  void complete() {
    DataStreamChannel wake;
    Runnable known;
    synchronized (lock) {
      isEnded = true;
      wake = sink;
      known = takePrefixAction();
    }
    if (wake != null) {
      wake.requestOutput();
    }
    if (known != null) {
      known.run();
    }
  }

  /**
   * Marks the body as cut. The sending connection is closed by the next {@link #produce}, so that
   * its reader sees a cut connection and never a short body that looks whole.
   */
  public void fail(Exception cause) {
    DataStreamChannel wake;
    synchronized (lock) {
      if (isEnded) {
        // All bytes are here: the receiving connection may go without making the body any shorter.
        return;
      }
      if (failure == null) {
        failure = cause;
      }
      wake = sink;
    }
    if (wake != null) {
      wake.requestOutput();
    }
  }

  /**
   * Throws away what was read and what is still to come, so that an early answer can be sent or the
   * rest be read for the record alone. Whoever would still write the body is cut off: what is left
   * of it could pass for a short body that is whole.
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

  /** Bytes that can be written now; 1 where only the end or a failure is to be written. */
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

  /** Writes what the sending connection takes; throws where the body was cut. */
  void produce(DataStreamChannel channel) throws IOException {
    synchronized (produceLock) {
      synchronized (lock) {
        sink = channel;
      }
      while (true) {
        ByteBuffer head;
        boolean last;
        synchronized (lock) {
          if (failure != null) {
            throw new IOException("body cut after " + writtenBytes + " bytes", failure);
          }
          if (isDiscarding) {
            throw new IOException("body given up after " + writtenBytes + " bytes");
          }
          head = buffers.peek();
          last = isEnded && head == null;
        }
        if (last) {
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

  // discard() may have emptied the queue while this buffer was being written: only the same buffer
  // is taken off, never one with equal content.
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
