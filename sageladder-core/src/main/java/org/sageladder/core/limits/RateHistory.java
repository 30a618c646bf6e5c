package org.sageladder.core.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Counts admissions in steps of a fiftieth of a window, far enough back to compare one window with
 * the window before it.
 *
 * <p>The growth at a moment is the requests of the window that ends then, less those of the window
 * before. Growth may rise later without any admission, because the older window loses a busy step;
 * so {@link #worstGrowth()} looks ahead over the steps to come and says the largest growth that no
 * abstaining could avert. A place that keeps that below its allowance keeps its cap at each step.
 *
 * <p>Not safe for use by several threads; its owner's lock guards it.
 */
final class RateHistory {
  /**
   * Steps in one window. An observer whose windows begin within a step may see the requests of one
   * step more than the cap: a fiftieth of a window at an even pace, and the pace of a tenth where a
   * burst falls into one step.
   */
  static final int STEPS = 50;

  private static final int KEPT = 2 * STEPS;

  /** Parts of a window whose pace is bounded; long enough that chance arrivals do not bind. */
  private static final int PACED_PARTS = 10;

  private static final int PACED_STEPS = STEPS / PACED_PARTS;

  /** Multiple of a part's even share that may be used in one part. */
  private static final double PACE = 1.25;

  private final long stepNanos;
  private final int[] counts = new int[KEPT];
  private long step;

  private RateHistory(long stepNanos, long step) {
    this.stepNanos = stepNanos;
    this.step = step;
  }

  /** A place that has admitted nothing yet. */
  static RateHistory create(Duration window, long nowNanos) {
    long stepNanos = Math.max(1, window.toNanos() / STEPS);
    return new RateHistory(stepNanos, Math.floorDiv(nowNanos, stepNanos));
  }

  /** Forgets what has grown too old; true where a new step has begun. */
  boolean rollTo(long nowNanos) {
    long newStep = Math.floorDiv(nowNanos, stepNanos);
    if (newStep <= step) {
      return false;
    }
    long fresh = Math.min(KEPT, newStep - step);
    for (long i = 1; i <= fresh; i++) {
      counts[slot(newStep - fresh + i)] = 0;
    }
    step = newStep;
    return true;
  }

  /**
   * Most requests in a tenth of a window, so that a cold place is not hit by a whole window's gain
   * at once.
   *
   * <p>A tenth may always hold its even part of the gain more than the same tenth one window ago.
   * Without that a place that uses its gain early in each window, as it must under full demand,
   * would have to start each window at the slow pace of the one before, and lose a part of its
   * gain.
   *
   * @param before requests of the window before the one that ends now
   * @param windowAgo requests of the same tenth one window ago
   * @param units requests by which a window may outgrow the one before
   */
  static int paceLimit(int before, int windowAgo, int units) {
    double evenPart = PACE * (before + units) / PACED_PARTS;
    double grown = windowAgo + PACE * units / PACED_PARTS;
    return Math.max(1, (int) Math.ceil(Math.max(evenPart, grown)));
  }

  long stepNanos() {
    return stepNanos;
  }

  /** Admissions step by step, newest first. */
  List<Integer> steps() {
    List<Integer> steps = new ArrayList<>(KEPT);
    for (int back = 0; back < KEPT; back++) {
      steps.add(counts[slot(step - back)]);
    }
    return steps;
  }

  /** Adds admissions made elsewhere, the newest of them {@code stepsAgo} steps before this one. */
  void addPast(List<Integer> steps, int stepsAgo) {
    for (int back = stepsAgo; back < KEPT && back - stepsAgo < steps.size(); back++) {
      counts[slot(step - back)] += steps.get(back - stepsAgo);
    }
  }

  void add() {
    counts[slot(step)]++;
  }

  /** Requests of the tenth of a window that ends with this step. */
  int inPart() {
    return sum(0, PACED_STEPS - 1);
  }

  /** Requests of the tenth that lies one window before {@link #inPart()}. */
  int windowAgo() {
    return sum(STEPS, STEPS + PACED_STEPS - 1);
  }

  /** Requests of the window that ends with this step. */
  int recent() {
    return sum(0, STEPS - 1);
  }

  /** Requests of the window before {@link #recent()}. */
  int before() {
    return sum(STEPS, KEPT - 1);
  }

  /** Growth {@code ahead} steps from now, 0 to twice {@link #STEPS}, if nothing more comes. */
  int[] growths() {
    int[] newest = new int[KEPT + 1];
    for (int back = 0; back < KEPT; back++) {
      newest[back + 1] = newest[back] + counts[slot(step - back)];
    }
    int[] growths = new int[KEPT];
    for (int ahead = 0; ahead < KEPT; ahead++) {
      int recent = newest[Math.max(0, STEPS - ahead)];
      growths[ahead] = recent - (newest[KEPT - ahead] - recent);
    }
    return growths;
  }

  /** Largest growth of this and the steps to come if nothing more is admitted. */
  int worstGrowth() {
    return worst(growths(), 0);
  }

  /** Largest of a window of {@code growths} that begins {@code from} steps from now, 0 to 50. */
  static int worst(int[] growths, int from) {
    int worst = Integer.MIN_VALUE;
    for (int ahead = from; ahead < from + STEPS; ahead++) {
      worst = Math.max(worst, growths[ahead]);
    }
    return worst;
  }

  /** Steps from now after which a place that may grow by {@code units} may admit one more. */
  static int stepsUntilRoom(int[] growths, int units) {
    int steps = 1;
    while (steps < STEPS && worst(growths, steps) >= units) {
      steps++;
    }
    return steps;
  }

  /** Monotonic time at which a place that may grow by {@code units} may admit one more. */
  long givesWayNanos(int units) {
    return nextStepNanos() + (stepsUntilRoom(growths(), units) - 1) * stepNanos;
  }

  /** Monotonic time at which the next step begins. */
  long nextStepNanos() {
    return (step + 1) * stepNanos;
  }

  /** The same rates counted in steps of another window. */
  RateHistory resampled(Duration window, long nowNanos) {
    RateHistory other = create(window, nowNanos);
    for (int back = 0; back < KEPT; back++) {
      long here = back * other.stepNanos / stepNanos;
      if (here >= KEPT) {
        break;
      }
      double perNano = (double) counts[slot(step - here)] / stepNanos;
      other.counts[other.slot(other.step - back)] = (int) (perNano * other.stepNanos);
    }
    return other;
  }

  private int sum(int newestBack, int oldestBack) {
    int sum = 0;
    for (int back = newestBack; back <= oldestBack; back++) {
      sum += counts[slot(step - back)];
    }
    return sum;
  }

  private static int slot(long step) {
    return (int) Math.floorMod(step, (long) KEPT);
  }
}
