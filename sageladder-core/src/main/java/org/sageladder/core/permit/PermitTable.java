package org.sageladder.core.permit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The states of all live permits of one incarnation, in segments that each cover a span of time.
 *
 * <p>A sequence number below the lowest retained segment counts as expired, so a wall clock that
 * jumps back cannot revive a permit whose state was dropped. One lock guards the whole table; no
 * outside code is called while it is held.
 */
final class PermitTable {
  private final PermitHome.Limits limits;
  private final Object lock = new Object();
  // The fields below are guarded by lock.
  private final Deque<Segment> segments = new ArrayDeque<>();
  private final Map<Long, RecordedAnswer> answers = new HashMap<>();
  private final Deque<Long> answerOrder = new ArrayDeque<>();
  private long answerBytes;
  private long nextSequence = 1;
  private long maxSeenMillis;
  private @Nullable String successor;
  private boolean isDraining;

  PermitTable(PermitHome.Limits limits) {
    this.limits = limits;
  }

  /** Returns a table that continues from the handed-over states. */
  static PermitTable restoredFrom(HandOver handOver, PermitHome.Limits limits) {
    PermitTable table = new PermitTable(limits);
    synchronized (table.lock) {
      handOver.segments().forEach(state -> table.segments.addLast(Segment.of(state)));
      handOver.answers().forEach((sequence, answer) -> table.storeAnswer(sequence, answer));
      table.nextSequence = handOver.nextSequence();
    }
    return table;
  }

  /**
   * Mints a permit: its sequence number and expiry, or null once the table is draining or closed.
   */
  @Nullable Minted mint(long nowMillis) {
    synchronized (lock) {
      if (successor != null || isDraining) {
        return null;
      }
      long now = advanceClock(nowMillis);
      long expiry = now + limits.lifetime().toMillis();
      Segment last = segments.peekLast();
      if (last == null || last.isFull() || now - last.startMillis >= segmentSpanMillis()) {
        last = new Segment(nextSequence, now);
        segments.addLast(last);
      }
      last.add(expiry);
      return new Minted(nextSequence++, expiry);
    }
  }

  record Minted(long sequence, long expiryMillis) {}

  Decision beginExecution(Permit permit, long digest, long nowMillis) {
    synchronized (lock) {
      if (successor != null) {
        return new Decision.Moved(successor);
      }
      long now = advanceClock(nowMillis);
      Segment segment = findSegment(permit.sequence());
      if (segment == null) {
        return new Decision.Expired();
      }
      return decide(segment, permit, digest, now);
    }
  }

  private Decision decide(Segment segment, Permit permit, long digest, long now) {
    int index = segment.indexOf(permit.sequence());
    byte state = segment.state(index);
    if (state != Segment.UNUSED && segment.requestDigest(index) != digest) {
      return new Decision.Mismatch("the permit was first used for another request");
    }
    return switch (state) {
      case Segment.UNUSED -> startExecution(segment, index, permit, digest, now);
      case Segment.RUNNING -> new Decision.Running();
      case Segment.NOT_RUN -> new Decision.NotRun();
      case Segment.RAN -> new Decision.Replay(recordedAnswer(permit.sequence()));
      default -> new Decision.Unknown();
    };
  }

  private Decision startExecution(
      Segment segment, int index, Permit permit, long digest, long now) {
    if (now >= permit.expiryMillis()) {
      // The caller is answered "not run", so this must be recorded: if the clock jumps back, or a
      // successor's clock is behind, a later copy would otherwise be executed.
      segment.markNotRun(index, digest);
      return new Decision.NotRun();
    }
    if (isDraining) {
      return new Decision.Running();
    }
    segment.markRunning(index, digest);
    return new Decision.Execute(new TableExecution(permit));
  }

  private RecordedAnswer recordedAnswer(long sequence) {
    RecordedAnswer answer = answers.get(sequence);
    return answer == null ? RecordedAnswer.notKept() : answer;
  }

  /** Stops minting and starting executions, so that running ones can end before {@link #close}. */
  void startDraining() {
    synchronized (lock) {
      isDraining = true;
    }
  }

  /**
   * Closes the table for {@code successorVm} and returns its states. Returns the same for each call
   * with that successor, and null for any other.
   *
   * <p>Two successors could both run a permit that was unused at the time of closing. So the first
   * one named remains the only one, even if it is unknown whether it received the states.
   */
  @Nullable HandOver close(String vm, long incarnation, String successorVm, long nowMillis) {
    synchronized (lock) {
      if (successor != null && !successor.equals(successorVm)) {
        return null;
      }
      advanceClock(nowMillis);
      successor = successorVm;
      List<HandOver.SegmentState> states = new ArrayList<>();
      segments.forEach(segment -> states.add(segment.toHandOverState()));
      Map<Long, RecordedAnswer> kept = new HashMap<>(answers);
      return new HandOver(vm, incarnation, nextSequence, states, kept);
    }
  }

  int runningCount() {
    synchronized (lock) {
      return segments.stream().mapToInt(Segment::runningCount).sum();
    }
  }

  long retainedCount(long nowMillis) {
    synchronized (lock) {
      advanceClock(nowMillis);
      return segments.stream().mapToLong(Segment::count).sum();
    }
  }

  /**
   * Describes the successor, the latest time seen, and how many permits are in which state, by
   * segment.
   */
  @Override
  public String toString() {
    synchronized (lock) {
      return "successor=" + successor + " latest=" + maxSeenMillis + " segments=" + segments;
    }
  }

  private long advanceClock(long nowMillis) {
    maxSeenMillis = Math.max(maxSeenMillis, nowMillis);
    long retention = limits.retention().toMillis();
    while (!segments.isEmpty()
        && maxSeenMillis >= segments.getFirst().lastExpiryMillis() + retention) {
      dropSegment(segments.removeFirst());
    }
    return maxSeenMillis;
  }

  private void dropSegment(Segment segment) {
    for (Iterator<Long> oldest = answerOrder.iterator(); oldest.hasNext(); ) {
      long sequence = oldest.next();
      if (segment.contains(sequence)) {
        oldest.remove();
        evictAnswer(sequence);
      }
    }
  }

  private void storeAnswer(long sequence, RecordedAnswer answer) {
    answers.put(sequence, answer);
    answerOrder.addLast(sequence);
    answerBytes += answer.memoryBytes();
    while (answerBytes > limits.maxAnswerBytes() && !answerOrder.isEmpty()) {
      evictAnswer(answerOrder.removeFirst());
    }
  }

  private void evictAnswer(long sequence) {
    RecordedAnswer answer = answers.remove(sequence);
    if (answer != null) {
      answerBytes -= answer.memoryBytes();
    }
  }

  private @Nullable Segment findSegment(long sequence) {
    for (Iterator<Segment> newest = segments.descendingIterator(); newest.hasNext(); ) {
      Segment segment = newest.next();
      if (segment.contains(sequence)) {
        return segment;
      }
    }
    return null;
  }

  private long segmentSpanMillis() {
    return limits.segmentSpan().toMillis();
  }

  private final class TableExecution implements Execution {
    private final Permit permit;

    TableExecution(Permit permit) {
      this.permit = permit;
    }

    @Override
    public Permit permit() {
      return permit;
    }

    @Override
    public boolean recordAnswer(RecordedAnswer answer) {
      synchronized (lock) {
        if (!transition(Segment.RUNNING, Segment.RAN)
            && !transition(Segment.UNKNOWN, Segment.RAN)) {
          return false;
        }
        storeAnswer(permit.sequence(), answer);
        return true;
      }
    }

    @Override
    public boolean recordNotRun() {
      synchronized (lock) {
        return transition(Segment.RUNNING, Segment.NOT_RUN);
      }
    }

    @Override
    public boolean recordUnknown() {
      synchronized (lock) {
        return transition(Segment.RUNNING, Segment.UNKNOWN);
      }
    }

    private boolean transition(byte from, byte to) {
      Segment segment = successor == null ? findSegment(permit.sequence()) : null;
      return segment != null && segment.transition(segment.indexOf(permit.sequence()), from, to);
    }
  }
}
