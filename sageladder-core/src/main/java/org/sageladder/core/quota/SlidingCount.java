package org.sageladder.core.quota;

/** Events of the last window, counted in slots. Not safe for use by several threads. */
final class SlidingCount {
  private static final int SLOTS = 25;

  private final long slotMillis;
  private final int[] slots = new int[SLOTS + 1];
  private long lastSlot;
  private int sum;

  SlidingCount(long windowMillis) {
    this.slotMillis = Math.max(1, windowMillis / SLOTS);
  }

  /** Counts {@code events}, which may be negative to take earlier ones back. */
  void add(int events, long now) {
    roll(now);
    int slot = (int) (lastSlot % slots.length);
    int before = slots[slot];
    slots[slot] = Math.max(0, before + events);
    sum += slots[slot] - before;
  }

  int count(long now) {
    roll(now);
    return sum;
  }

  private void roll(long now) {
    long current = Math.max(lastSlot, now / slotMillis);
    long from = Math.max(lastSlot + 1, current - SLOTS);
    for (long slot = from; slot <= current; slot++) {
      int index = (int) (slot % slots.length);
      sum -= slots[index];
      slots[index] = 0;
    }
    lastSlot = current;
  }
}
