package org.sageladder.core.quota;

/** Counts the events of the last window in buckets. Not thread-safe. */
final class SlidingWindowCounter {
  private static final int BUCKETS = 25;

  private final long bucketMillis;
  private final int[] buckets = new int[BUCKETS + 1];
  private long lastBucket;
  private int sum;

  SlidingWindowCounter(long windowMillis) {
    this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
  }

  /** Adds {@code events}; a negative number cancels earlier events. */
  void add(int events, long nowMillis) {
    advanceTo(nowMillis);
    int index = (int) (lastBucket % buckets.length);
    int before = buckets[index];
    buckets[index] = Math.max(0, before + events);
    sum += buckets[index] - before;
  }

  int count(long nowMillis) {
    advanceTo(nowMillis);
    return sum;
  }

  private void advanceTo(long nowMillis) {
    long current = Math.max(lastBucket, nowMillis / bucketMillis);
    long from = Math.max(lastBucket + 1, current - BUCKETS);
    for (long bucket = from; bucket <= current; bucket++) {
      int index = (int) (bucket % buckets.length);
      sum -= buckets[index];
      buckets[index] = 0;
    }
    lastBucket = current;
  }
}
