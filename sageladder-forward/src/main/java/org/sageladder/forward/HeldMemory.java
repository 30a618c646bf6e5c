package org.sageladder.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * The memory that clients hold through their connections, in bytes of heap, and its limit.
 *
 * <p>Each connection states what it holds. Beyond the limit, those that hold most are ended, among
 * similar ones first those that have waited longest for their clients. So clients that hold little
 * and move are served on.
 *
 * <pre>{@code
 * HeldMemory.Share share = memory.open(connection);
 * share.set(16_384);
 * memory.relieve();
 * }</pre>
 */
public final class HeldMemory {
  /** The rest of the heap is for all other state, and for garbage. */
  private static final double HEAP_FRACTION = 0.375;

  /** Part of the limit that is in use after connections were ended. */
  private static final double RELIEVED_FRACTION = 0.875;

  /** A connection of a client. */
  public interface Holder {
    /** When the connection began to wait for its client, {@link Long#MAX_VALUE} if it does not. */
    long waitingSinceMillis();

    /** Releases what the connection holds; ends it unless a refusal is still to be read. */
    void evict();
  }

  private final Executor executor;
  private final Set<Share> shares = new LinkedHashSet<>();
  private long maxBytes;
  private long bytes;
  private boolean isRelieving;

  private HeldMemory(long maxBytes, Executor executor) {
    this.maxBytes = maxBytes;
    this.executor = executor;
  }

  /**
   * Creates an account whose limit is a part of the maximum heap.
   *
   * @param executor runs a task later on the thread that uses the account
   */
  public static HeldMemory ofHeap(Executor executor) {
    return new HeldMemory((long) (Runtime.getRuntime().maxMemory() * HEAP_FRACTION), executor);
  }

  /** Sets another limit. */
  void updateLimit(long newMaxBytes) {
    maxBytes = newMaxBytes;
  }

  /** Begins to count what a connection holds. */
  public Share open(Holder holder) {
    Share share = new Share(holder);
    shares.add(share);
    return share;
  }

  /** Bytes that all connections hold. */
  public long bytes() {
    return bytes;
  }

  /** Ends connections until enough memory is free, if the limit is exceeded. */
  public void relieve() {
    if (bytes <= maxBytes || isRelieving) {
      return;
    }
    isRelieving = true;
    try {
      for (Share share : byPriority()) {
        if (bytes <= maxBytes * RELIEVED_FRACTION) {
          return;
        }
        share.holder.evict();
      }
    } finally {
      isRelieving = false;
    }
  }

  /** The shares in the order in which they are to be ended. */
  private List<Share> byPriority() {
    List<Share> sorted = new ArrayList<>(shares);
    sorted.sort(
        Comparator.comparingInt(Share::sizeClass)
            .reversed()
            .thenComparingLong(share -> share.holder.waitingSinceMillis()));
    return sorted;
  }

  /** What one connection holds. */
  public final class Share implements AutoCloseable {
    private final Holder holder;
    private long heldBytes;
    private boolean isClosed;

    private Share(Holder holder) {
      this.holder = holder;
    }

    /** States what the connection holds now; ignored once the share is closed. */
    public void set(long newBytes) {
      if (isClosed) {
        return;
      }
      boolean wasExceeded = bytes > maxBytes;
      bytes += newBytes - heldBytes;
      heldBytes = newBytes;
      if (!wasExceeded && bytes > maxBytes) {
        executor.execute(HeldMemory.this::relieve);
      }
    }

    /** Bytes that the connection holds. */
    public long bytes() {
      return heldBytes;
    }

    /** Number of binary digits, so that shares of similar size are equal. */
    private int sizeClass() {
      return Long.SIZE - Long.numberOfLeadingZeros(heldBytes);
    }

    /** Ends the count; the connection holds nothing any more. */
    @Override
    public void close() {
      set(0);
      isClosed = true;
      shares.remove(this);
    }
  }
}
