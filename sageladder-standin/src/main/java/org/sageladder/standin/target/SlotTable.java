package org.sageladder.standin.target;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.time.TimeSource;

/**
 * Slots, the short queue before them and the reports about them, with no I/O.
 *
 * <p>Safe for use by several threads; one lock guards everything, and no work is started under it.
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

  /** What a target says of itself at {@code /load}. */
  record Load(int slots, int busy, int queued, boolean draining, long incarnation) {}

  private record LoadSample(long atNanos, Load load) {}

  private record QueuedWork(Runnable start, long deadlineNanos) {}

  /** What becomes of a request that has fully arrived. */
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
   * Takes a slot, a place in the queue, or neither. With {@link Decision#STARTED} the caller runs
   * the work; with {@link Decision#QUEUED} {@code start} is returned by a later {@link #release}.
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

  /** Takes waiting work back; false where it has been started or was never queued. */
  synchronized boolean removeQueued(Runnable start) {
    boolean removed = queuedWork.removeIf(waiting -> waiting.start() == start);
    if (removed) {
      recordLoad();
    }
    return removed;
  }

  /** Frees a slot of {@code ofIncarnation}; returns queued work that now has the slot. */
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

  /** Draws the time that the next request holds its slot. */
  synchronized long drawServiceNanos() {
    double factor = faults.slowFactor() * coldStartFactor();
    long late = random.nextDouble() < faults.lateProbability() ? faults.lateMillis() : 0;
    long usual = options.serviceTime().drawNanos(random);
    return (long) (usual * factor) + Duration.ofMillis(late).toNanos();
  }

  /** Draws whether the next answer is cut midway. */
  synchronized boolean drawTruncation() {
    return random.nextDouble() < faults.truncateProbability();
  }

  synchronized void startDraining() {
    isDraining = true;
    recordLoad();
  }

  /** Forgets all work and starts as a new incarnation. */
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

  /** The truth about this target now. */
  synchronized Load load() {
    return new Load(options.slots(), busySlots, queuedWork.size(), isDraining, incarnation);
  }

  /** The load as the faults let it be seen. */
  synchronized Load reportedLoad() {
    long cutoff = time.nanos() - Duration.ofMillis(faults.loadLagMillis()).toNanos();
    Load seen = loadSamples.getFirst().load();
    for (LoadSample reading : loadSamples) {
      if (reading.atNanos() - cutoff > 0) {
        break;
      }
      seen = reading.load();
    }
    int claimed = faults.reportBusy() < 0 ? seen.busy() : faults.reportBusy();
    return new Load(seen.slots(), claimed, seen.queued(), seen.draining(), seen.incarnation());
  }

  /** True where {@code /health} answers 200. */
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
    long warmingSince = startedAtNanos + Duration.ofMillis(options.startMillis()).toNanos();
    double passed = time.nanos() - warmingSince;
    if (passed >= coldNanos) {
      return 1;
    }
    return options.coldFactor() + (1 - options.coldFactor()) * Math.max(0, passed) / coldNanos;
  }

  /** Keeps the readings that the present lag may still show, and the one before them. */
  private void recordLoad() {
    long now = time.nanos();
    loadSamples.add(new LoadSample(now, load()));
    long cutoff = now - Duration.ofMillis(faults.loadLagMillis()).toNanos();
    while (loadSamples.size() > 1) {
      LoadSample first = loadSamples.removeFirst();
      if (loadSamples.getFirst().atNanos() - cutoff > 0) {
        loadSamples.addFirst(first);
        return;
      }
    }
  }
}
