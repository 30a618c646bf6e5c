package org.sageladder.core.quota;

/** Events of the last window, counted in slots. Not safe for use by several threads. */
final class SlidingWindowCounter {
  private static final int BUCKETS = 25;

  private final long bucketMillis;
  private final int[] buckets = new int[BUCKETS + 1];
  private long lastBucket;
  private int sum;

  SlidingWindowCounter(long windowMillis) {
    this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
  }

  /** Counts {@code events}, which may be negative to take earlier ones back. */
  void add(int events, long now) {
    advanceTo(now);
    int slot = (int) (lastBucket % buckets.length);
    int before = buckets[slot];
    buckets[slot] = Math.max(0, before + events);
    sum += buckets[slot] - before;
  }

  int count(long now) {
    advanceTo(now);
    return sum;
  }

  private void advanceTo(long now) {
    long current = Math.max(lastBucket, now / bucketMillis);
    long from = Math.max(lastBucket + 1, current - BUCKETS);
    for (long slot = from; slot <= current; slot++) {
      int index = (int) (slot % buckets.length);
      sum -= buckets[index];
      buckets[index] = 0;
    }
    lastBucket = current;
  }
}
