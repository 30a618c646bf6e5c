package org.sageladder.core.permit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Mints the permits of one incarnation of an entry VM and decides which copy of a request may run.
 *
 * <p>Memory is bounded: permits are numbered in sequence, the numbers are kept in segments that end
 * by time, and a segment is dropped whole once its last permit has expired. A sequence below the
 * lowest kept segment is expired by that fact alone, whatever the clock says.
 *
 * <pre>{@code
 * Permit permit = home.mint("kannelkoda", "donations", "", nowMillis);
 * if (home.begin(permit, digest, nowMillis) instanceof Decision.Execute execute) {
 *   execute.execution().finish(answer);
 * }
 * }</pre>
 *
 * <p>All methods are safe for use by several threads; one lock guards the whole state and nothing
 * is called while it is held.
 */
public final class PermitHome {
  private final String vm;
  private final long incarnation;
  private final Limits limits;
  private final Object lock = new Object();
  // Guarded by lock.
  private final Deque<Segment> segments = new ArrayDeque<>();
  private final Map<Long, RecordedAnswer> answers = new HashMap<>();
  private final Deque<Long> answerOrder = new ArrayDeque<>();
  private long answerBytes;
  private long nextSequence = 1;
  private long latestMillis;

  private PermitHome(String vm, long incarnation, Limits limits) {
    this.vm = vm;
    this.incarnation = incarnation;
    this.limits = limits;
  }

  /** The home of the permits of {@code vm} in {@code incarnation}. */
  public static PermitHome of(String vm, long incarnation, Limits limits) {
    return new PermitHome(vm, incarnation, limits);
  }

  /**
   * What bounds the state of a home.
   *
   * @param lifetime time from minting to expiry
   * @param segmentSpan time that one segment covers; state outlives the expiry by as much
   * @param answerBytes most memory for recorded answers; the oldest go first
   */
  public record Limits(Duration lifetime, Duration segmentSpan, long answerBytes) {
    /** Two minutes to live, segments of ten seconds, 16 MiB of answers. */
    public static Limits standard() {
      return new Limits(Duration.ofMinutes(2), Duration.ofSeconds(10), 16L << 20);
    }
  }

  /** A fresh permit, bound to the digest of an idempotency key where {@code boundTo} is given. */
  public Permit mint(String customer, String service, String boundTo, long nowMillis) {
    synchronized (lock) {
      long now = advance(nowMillis);
      long expiry = now + limits.lifetime().toMillis();
      Segment last = segments.peekLast();
      if (last == null || last.isFull() || now - last.startMillis >= spanMillis()) {
        last = new Segment(nextSequence, now);
        segments.addLast(last);
      }
      last.add(expiry);
      return new Permit(vm, incarnation, nextSequence++, expiry, customer, service, boundTo);
    }
  }

  /** A fresh permit that is bound to no key. */
  public Permit mint(String customer, String service, long nowMillis) {
    return mint(customer, service, "", nowMillis);
  }

  /**
   * Decides on one copy of a request.
   *
   * @param permit opened and verified
   * @param requestDigest digest of what must be alike in every copy, such as method, path and body
   * @param nowMillis wall clock of this VM
   */
  public Decision begin(Permit permit, String requestDigest, long nowMillis) {
    if (!permit.home().equals(vm) || permit.incarnation() != incarnation) {
      return new Decision.Foreign(permit.home(), permit.incarnation());
    }
    synchronized (lock) {
      long now = advance(nowMillis);
      Segment segment = segmentOf(permit.sequence());
      if (segment == null) {
        return new Decision.Expired(false);
      }
      return decide(segment, permit, fold(requestDigest), now);
    }
  }

  private Decision decide(Segment segment, Permit permit, long digest, long now) {
    int index = segment.index(permit.sequence());
    byte state = segment.states[index];
    if (state != Segment.UNUSED && segment.digests[index] != digest) {
      return new Decision.Mismatch("the permit was first used for another request");
    }
    return switch (state) {
      case Segment.UNUSED -> start(segment, index, permit, digest, now);
      case Segment.RUNNING -> new Decision.Running();
      case Segment.NOT_RUN -> new Decision.NotRun();
      case Segment.RAN -> new Decision.Replay(answerOf(permit.sequence()));
      default -> new Decision.Unknown();
    };
  }

  private Decision start(Segment segment, int index, Permit permit, long digest, long now) {
    if (now >= permit.expiryMillis()) {
      return new Decision.Expired(true);
    }
    segment.states[index] = Segment.RUNNING;
    segment.digests[index] = digest;
    return new Decision.Execute(new Run(permit));
  }

  private RecordedAnswer answerOf(long sequence) {
    RecordedAnswer answer = answers.get(sequence);
    return answer == null ? RecordedAnswer.notKept() : answer;
  }

  /** Permits whose state is held now. */
  public long held() {
    synchronized (lock) {
      long held = 0;
      for (Segment segment : segments) {
        held += segment.count;
      }
      return held;
    }
  }

  /** Time as this home has seen it: a wall clock that jumps back cannot revive a permit. */
  private long advance(long nowMillis) {
    latestMillis = Math.max(latestMillis, nowMillis);
    while (!segments.isEmpty() && latestMillis >= segments.getFirst().endMillis + spanMillis()) {
      drop(segments.removeFirst());
    }
    return latestMillis;
  }

  private void drop(Segment segment) {
    for (Iterator<Long> oldest = answerOrder.iterator(); oldest.hasNext(); ) {
      long sequence = oldest.next();
      if (sequence >= segment.first && sequence < segment.first + segment.count) {
        oldest.remove();
        forget(sequence);
      }
    }
  }

  private void forget(long sequence) {
    RecordedAnswer answer = answers.remove(sequence);
    if (answer != null) {
      answerBytes -= answer.cost();
    }
  }

  private void keep(long sequence, RecordedAnswer answer) {
    answers.put(sequence, answer);
    answerOrder.addLast(sequence);
    answerBytes += answer.cost();
    while (answerBytes > limits.answerBytes() && !answerOrder.isEmpty()) {
      forget(answerOrder.removeFirst());
    }
  }

  private @Nullable Segment segmentOf(long sequence) {
    for (Iterator<Segment> newest = segments.descendingIterator(); newest.hasNext(); ) {
      Segment segment = newest.next();
      if (sequence >= segment.first) {
        return sequence < segment.first + segment.count ? segment : null;
      }
    }
    return null;
  }

  private long spanMillis() {
    return limits.segmentSpan().toMillis();
  }

  private static long fold(String requestDigest) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < requestDigest.length(); i++) {
      hash = (hash ^ requestDigest.charAt(i)) * 0x100000001b3L;
    }
    return hash;
  }

  private final class Run implements Execution {
    private final Permit permit;

    Run(Permit permit) {
      this.permit = permit;
    }

    @Override
    public Permit permit() {
      return permit;
    }

    @Override
    public boolean finish(RecordedAnswer answer) {
      synchronized (lock) {
        if (!move(Segment.RUNNING, Segment.RAN) && !move(Segment.UNKNOWN, Segment.RAN)) {
          return false;
        }
        keep(permit.sequence(), answer);
        return true;
      }
    }

    @Override
    public boolean notRun() {
      synchronized (lock) {
        return move(Segment.RUNNING, Segment.NOT_RUN);
      }
    }

    @Override
    public boolean unknown() {
      synchronized (lock) {
        return move(Segment.RUNNING, Segment.UNKNOWN);
      }
    }

    private boolean move(byte from, byte to) {
      Segment segment = segmentOf(permit.sequence());
      if (segment == null) {
        return false;
      }
      int index = segment.index(permit.sequence());
      if (segment.states[index] != from) {
        return false;
      }
      segment.states[index] = to;
      return true;
    }
  }
}
