package org.sageladder.standin.target;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.time.TimeSource;

/**
 * Slots of a target, the queue in front of them and the load reports, without I/O.
 *
 * <p>Thread-safe: one lock guards all state, and no work is started while it is held.
 */
final class SlotTable {
  private final TargetOptions options;
  private final TimeSource time;
  private final SplittableRandom random;
  private final Deque<QueuedWork> queuedWork = new ArrayDeque<>();
  private final Deque<LoadSample> loadSamples = new ArrayDeque<>();
  private TargetFaults faults = TargetFaults.none();
  private long startedAtNanos;
  private long incarnation;
  private int busySlots;
  private boolean isDraining;

  private SlotTable(TargetOptions options, TimeSource time) {
    this.options = options;
    this.time = time;
    this.random = new SplittableRandom(options.seed());
    this.startedAtNanos = time.nanos();
    this.incarnation = options.incarnation();
    recordLoad();
  }

  static SlotTable create(TargetOptions options, TimeSource time) {
    return new SlotTable(options, time);
  }

  /** The load that a target reports at {@code /load}. */
  record Load(int slots, int busy, int queued, boolean draining, long incarnation) {}

  private record LoadSample(long atNanos, Load load) {}

  private record QueuedWork(Runnable start, long deadlineNanos) {}

  /** The decision on a request that has been received completely. */
  enum Decision {
    STARTED(""),
    QUEUED(""),
    SHEDDING("shedding"),
    DRAINING("draining"),
    STARTING("starting");

    private final String refusal;

    Decision(String refusal) {
      this.refusal = refusal;
    }

    boolean isRefusal() {
      return !refusal.isEmpty();
    }

    String refusal() {
      return refusal;
    }
  }

  /**
   * Takes a slot or a position in the queue, or refuses the request. With {@link Decision#STARTED}
   * the caller runs the work itself; with {@link Decision#QUEUED} a later {@link #release} returns
   * {@code start}.
   */
  synchronized Decision offer(Runnable start, long deadlineNanos) {
    if (isDraining) {
      return Decision.DRAINING;
    }
    if (isStarting()) {
      return Decision.STARTING;
    }
    if (faults.shed()) {
      return Decision.SHEDDING;
    }
    if (busySlots < options.slots()) {
      busySlots++;
      recordLoad();
      return Decision.STARTED;
    }
    if (queuedWork.size() >= options.queue()) {
      return Decision.SHEDDING;
    }
    queuedWork.add(new QueuedWork(start, deadlineNanos));
    recordLoad();
    return Decision.QUEUED;
  }

  /** Removes queued work; returns false if it has been started or was never queued. */
  synchronized boolean removeQueued(Runnable start) {
    boolean removed = queuedWork.removeIf(queued -> queued.start() == start);
    if (removed) {
      recordLoad();
    }
    return removed;
  }

  /**
   * Releases a slot of {@code ofIncarnation}; returns queued work that now holds the slot, or null.
   * A slot of an earlier incarnation is ignored.
   */
  synchronized @Nullable Runnable release(long ofIncarnation) {
    if (ofIncarnation != incarnation) {
      return null;
    }
    QueuedWork next = queuedWork.poll();
    if (next == null) {
      busySlots--;
    }
    recordLoad();
    return next == null ? null : next.start();
  }

  /** Draws the time that the next request holds its slot, with faults and cold start applied. */
  synchronized long drawServiceNanos() {
    double factor = faults.slowFactor() * coldStartFactor();
    long extraMillis = random.nextDouble() < faults.lateProbability() ? faults.lateMillis() : 0;
    long baseNanos = options.serviceTime().drawNanos(random);
    return (long) (baseNanos * factor) + Duration.ofMillis(extraMillis).toNanos();
  }

  /** Draws whether the next answer is truncated. */
  synchronized boolean drawTruncation() {
    return random.nextDouble() < faults.truncateProbability();
  }

  synchronized void startDraining() {
    isDraining = true;
    recordLoad();
  }

  /** Drops all work and starts a new incarnation. */
  synchronized void restart() {
    queuedWork.clear();
    busySlots = 0;
    isDraining = false;
    incarnation++;
    startedAtNanos = time.nanos();
    recordLoad();
  }

  synchronized long incarnation() {
    return incarnation;
  }

  synchronized void setFaults(TargetFaults next) {
    faults = next;
  }

  synchronized TargetFaults faults() {
    return faults;
  }

  /** Returns the actual load, regardless of faults. */
  synchronized Load load() {
    return new Load(options.slots(), busySlots, queuedWork.size(), isDraining, incarnation);
  }

  /** Returns the load as reported, with the faults applied. */
  synchronized Load reportedLoad() {
    long cutoffNanos = time.nanos() - Duration.ofMillis(faults.loadLagMillis()).toNanos();
    Load visible = loadSamples.getFirst().load();
    for (LoadSample sample : loadSamples) {
      if (sample.atNanos() - cutoffNanos > 0) {
        break;
      }
      visible = sample.load();
    }
    int reportedBusy = faults.reportBusy() < 0 ? visible.busy() : faults.reportBusy();
    return new Load(
        visible.slots(), reportedBusy, visible.queued(), visible.draining(), visible.incarnation());
  }

  /** Returns whether {@code /health} answers 200. */
  synchronized boolean isReportedUp() {
    return switch (faults.health()) {
      case ALWAYS_UP -> true;
      case ALWAYS_DOWN -> false;
      case TRUE -> !isDraining && !isStarting();
    };
  }

  private boolean isStarting() {
    return time.nanos() - startedAtNanos < Duration.ofMillis(options.startMillis()).toNanos();
  }

  private double coldStartFactor() {
    double coldNanos = Duration.ofMillis(options.coldMillis()).toNanos();
    long warmingSinceNanos = startedAtNanos + Duration.ofMillis(options.startMillis()).toNanos();
    double elapsedNanos = time.nanos() - warmingSinceNanos;
    if (elapsedNanos >= coldNanos) {
      return 1;
    }
    return options.coldFactor()
        + (1 - options.coldFactor()) * Math.max(0, elapsedNanos) / coldNanos;
  }

  /**
   * Adds a sample and drops those that are older than the report lag, except the latest of them.
   */
  private void recordLoad() {
    long nowNanos = time.nanos();
    loadSamples.add(new LoadSample(nowNanos, load()));
    long cutoffNanos = nowNanos - Duration.ofMillis(faults.loadLagMillis()).toNanos();
    while (loadSamples.size() > 1) {
      LoadSample oldest = loadSamples.removeFirst();
      if (loadSamples.getFirst().atNanos() - cutoffNanos > 0) {
        loadSamples.addFirst(oldest);
        return;
      }
    }
  }
}
