package org.sageladder.core.event;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.sageladder.core.time.TimeSource;

/**
 * Ring buffer of the latest events of one process, for readers that poll it.
 *
 * <pre>{@code
 * EventBuffer events = EventBuffer.withCapacity(16_384, TimeSource.system());
 * events.record(EventKind.ADMITTED, "r-1", "kannelkoda", "tartu-1-t3", 0, "slot 2 of 3");
 * Batch batch = events.readAfter(0, 1_000);
 * }</pre>
 *
 * <p>Recording neither blocks nor fails: when the buffer is full, the oldest event is overwritten,
 * and each reader learns how many events it missed. Thread-safe.
 */
public final class EventBuffer implements EventSink {
  private final AtomicReferenceArray<Event> slots;
  private final int mask;
  private final TimeSource time;
  private final long startNanos;
  private final long startWallMicros;

  /** Sequence number of the next event. The first event has 1, so that 0 means "from the start". */
  private final AtomicLong nextSequence = new AtomicLong(1);

  private EventBuffer(int capacity, TimeSource time) {
    this.slots = new AtomicReferenceArray<>(capacity);
    this.mask = capacity - 1;
    this.time = time;
    this.startNanos = time.nanos();
    this.startWallMicros = time.wallMillis() * 1_000;
  }

  /**
   * Returns a buffer for at least {@code capacity} events, rounded up to a power of two.
   *
   * @param capacity from 1 to 4,194,304
   */
  public static EventBuffer withCapacity(int capacity, TimeSource time) {
    if (capacity < 1 || capacity > 1 << 22) {
      throw new IllegalArgumentException(
          "capacity " + capacity + " is out of range, expected 1 to " + (1 << 22));
    }
    int rounded = capacity == 1 ? 1 : Integer.highestOneBit(capacity - 1) << 1;
    return new EventBuffer(rounded, time);
  }

  /**
   * Events that a reader has not seen yet.
   *
   * @param events in sequence order, with gaps where events were lost
   * @param lostCount number of events after the requested position that had already been
   *     overwritten
   * @param lastSequence position to pass to the next read
   */
  public record Batch(List<Event> events, long lostCount, long lastSequence) {
    /** Copies the list, so that the batch is immutable. */
    public Batch {
      events = List.copyOf(events);
    }
  }

  @Override
  public void record(
      EventKind kind,
      String request,
      String contract,
      String subject,
      long revision,
      String detail) {
    long sequence = nextSequence.getAndIncrement();
    Event event =
        new Event(sequence, wallMicros(), kind, request, contract, subject, revision, detail);
    store((int) sequence & mask, event);
  }

  /**
   * Stores an event unless its slot has a later one already: its writer may have waited for a
   * processor while others went once around the buffer, and a reader would wait for the later event
   * for good.
   */
  private void store(int index, Event event) {
    Event current = slots.getAcquire(index);
    while (current == null || current.sequence() < event.sequence()) {
      if (slots.compareAndSet(index, current, event)) {
        return;
      }
      current = slots.getAcquire(index);
    }
  }

  /**
   * Returns at most {@code limit} events whose sequence number is above {@code sequence}.
   *
   * <p>An event that is being recorded concurrently, and all events after it, are left to the next
   * read. Otherwise a reader would skip an event that becomes visible a moment later.
   */
  public Batch readAfter(long sequence, int limit) {
    List<Event> events = new ArrayList<>();
    long end = nextSequence.get();
    long first = Math.max(sequence + 1, end - slots.length());
    long lost = first - (sequence + 1);
    long position = Math.max(first, 1);
    while (position < end && events.size() < limit) {
      Event event = slots.getAcquire((int) position & mask);
      if (event == null || event.sequence() < position) {
        break;
      }
      if (event.sequence() == position) {
        events.add(event);
      } else {
        lost++;
      }
      position++;
    }
    return new Batch(events, Math.max(0, lost), position - 1);
  }

  /** Sequence number of the latest event, 0 if there is none. */
  public long latestSequence() {
    return nextSequence.get() - 1;
  }

  /** Maximum number of events kept. */
  public int capacity() {
    return slots.length();
  }

  /**
   * Timestamp of an event recorded now: wall-clock time at the start plus monotonic time since
   * then, so that setting the wall clock back cannot reorder events of this process.
   */
  public long wallMicros() {
    return startWallMicros + (time.nanos() - startNanos) / 1_000;
  }
}
