package org.sageladder.entry.exchange;

import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * The estimated heap of all exchanges at one port, and its limit.
 *
 * <pre>{@code
 * long bytes = ExchangeMemory.estimate(request, entity);
 * memory.add(bytes);
 * }</pre>
 */
public final class ExchangeMemory {
  private static final int HEAP_TO_LIMIT_RATIO = 4;
  private static final long EXCHANGE_BYTES = 3 << 10;
  private static final long HEADER_BYTES = 200;
  private static final long BODY_BYTES = 12 << 10;

  private final long maxBytes;
  private final AtomicLong bytes = new AtomicLong();

  private ExchangeMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Creates an account that is exhausted at a quarter of the maximum heap. */
  public static ExchangeMemory ofHeap() {
    return new ExchangeMemory(Runtime.getRuntime().maxMemory() / HEAP_TO_LIMIT_RATIO);
  }

  /** Estimates the heap of the exchange for a request. */
  static long estimate(HttpRequest request, @Nullable EntityDetails entity) {
    long headerBytes = request.getHeaders().length * HEADER_BYTES;
    return EXCHANGE_BYTES + headerBytes + (entity == null ? 0 : BODY_BYTES);
  }

  /** Counts more bytes, or fewer if {@code count} is negative. */
  void add(long count) {
    bytes.addAndGet(count);
  }

  /** True if no connection may have more than one unanswered request. */
  boolean isExhausted() {
    return bytes.get() > maxBytes;
  }

  /** Bytes of all exchanges that have not ended. */
  long bytes() {
    return bytes.get();
  }
}
