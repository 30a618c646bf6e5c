package org.sageladder.core.event;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.sageladder.core.time.TimeSource;

/**
 * Keeps the latest events of one process for readers that fetch them from time to time.
 *
 * <pre>{@code
 * EventBuffer events = EventBuffer.holding(16_384, TimeSource.system());
 * events.record(EventKind.ADMITTED, "r-1", "kannelkoda", "tartu-1-t3", 0, "slot 2 of 3");
 * Batch batch = events.after(0, 1_000);
 * }</pre>
 *
 * <p>Recording neither blocks nor fails: when the buffer is full the oldest event gives way, and
 * each reader is told how many events it missed. Safe for use by any number of threads.
 */
public final class EventBuffer implements EventSink {
  private final AtomicReferenceArray<Event> slots;
  private final int mask;
  private final TimeSource time;
  private final long startNanos;
  private final long startWallMicros;

  /** Sequence number of the next event; the first event has 1, so that 0 means "from the start". */
  private final AtomicLong nextSequence = new AtomicLong(1);

  private EventBuffer(int capacity, TimeSource time) {
    this.slots = new AtomicReferenceArray<>(capacity);
    this.mask = capacity - 1;
    this.time = time;
    this.startNanos = time.nanos();
    this.startWallMicros = time.wallMillis() * 1_000;
  }

  /**
   * A buffer for at least {@code capacity} events, rounded up to a power of two.
   *
   * @param capacity from 1 to 4,194,304
   */
  public static EventBuffer withCapacity(int capacity, TimeSource time) {
    if (capacity < 1 || capacity > 1 << 22) {
      throw new IllegalArgumentException(
          "capacity " + capacity + " is not allowed; give 1 to " + (1 << 22));
    }
    int rounded = capacity == 1 ? 1 : Integer.highestOneBit(capacity - 1) << 1;
    return new EventBuffer(rounded, time);
  }

  /**
   * Events that a reader had not seen.
   *
   * @param events in the order of their sequence, which may have gaps where events were lost
   * @param lostCount how many events after the one asked for had given way already
   * @param lastSequence pass this to the next read
   */
  public record Batch(List<Event> events, long lostCount, long lastSequence) {
    /** Copies the list, so that the batch cannot change. */
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
    slots.setRelease((int) sequence & mask, event);
  }

  /**
   * At most {@code limit} events whose sequence is above {@code sequence}.
   *
   * <p>An event being recorded at this moment, and all after it, are left to the next read, so that
   * a reader never passes over one that appears a moment later.
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

  /** Sequence number of the latest event, 0 where there is none. */
  public long latestSequence() {
    return nextSequence.get() - 1;
  }

  /** Most events that are kept. */
  public int capacity() {
    return slots.length();
  }

  /**
   * Time of an event recorded now. Wall time at the start plus monotonic time since, so that a wall
   * clock that is set back cannot put a later event of this process before an earlier one.
   */
  public long wallMicros() {
    return startWallMicros + (time.nanos() - startNanos) / 1_000;
  }
}
