package org.sageladder.core.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Counts admissions in steps of a tenth of a window, far enough back to compare one window with the
 * window before it.
 *
 * <p>The growth at a moment is the requests of the window that ends then, less those of the window
 * before. Growth may rise later without any admission, because the older window loses a busy step;
 * so {@link #worstGrowth()} looks ahead over the steps to come and says the largest growth that no
 * abstaining could avert. A place that keeps that below its allowance keeps its cap at each step.
 *
 * <p>Not safe for use by several threads; its owner's lock guards it.
 */
final class RateHistory {
  /** Steps in one window. */
  static final int STEPS = 10;

  private static final int KEPT = 2 * STEPS;

  /** Part of a step's even share that may be used in one step, so that noise does not bind. */
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
   * Most requests in one step, so that a cold place is not hit by a whole window's gain at once.
   *
   * <p>A step may always hold its even part of the gain more than the same step one window ago.
   * Without that a place that uses its gain early in each window, as it must under full demand,
   * would have to start each window at the slow pace of the one before, and lose a part of its
   * gain.
   *
   * @param before requests of the window before the one that ends now
   * @param windowAgo requests of the same step one window ago
   * @param units requests by which a window may outgrow the one before
   */
  static int stepLimit(int before, int windowAgo, int units) {
    double evenPart = PACE * (before + units) / STEPS;
    double grown = windowAgo + PACE * units / STEPS;
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

  int inStep() {
    return counts[slot(step)];
  }

  /** Requests of the step that lies one window before this one. */
  int windowAgo() {
    return counts[slot(step - STEPS)];
  }

  /** Requests of the window that ends with this step. */
  int recent() {
    return sum(0, STEPS - 1);
  }

  /** Requests of the window before {@link #recent()}. */
  int before() {
    return sum(STEPS, KEPT - 1);
  }

  /** Growth {@code ahead} steps from now if nothing more is admitted, {@code ahead} 0 to 19. */
  int growth(int ahead) {
    int recent = ahead < STEPS ? sum(0, STEPS - 1 - ahead) : 0;
    return recent - sum(Math.max(0, STEPS - ahead), KEPT - 1 - ahead);
  }

  /** Largest growth of this and the steps to come if nothing more is admitted. */
  int worstGrowth() {
    return worstGrowth(0);
  }

  /** The same as it will be {@code from} steps from now, 0 to 10. */
  int worstGrowth(int from) {
    int worst = Integer.MIN_VALUE;
    for (int ahead = from; ahead < from + STEPS; ahead++) {
      worst = Math.max(worst, growth(ahead));
    }
    return worst;
  }

  /** Monotonic time at which a place that may grow by {@code units} may admit one more. */
  long givesWayNanos(int units) {
    int steps = 1;
    while (steps < STEPS && worstGrowth(steps) >= units) {
      steps++;
    }
    return nextStepNanos() + (steps - 1) * stepNanos;
  }

  /** Monotonic time at which the next step begins. */
  long nextStepNanos() {
    return (step + 1) * stepNanos;
  }

  /** The same rates counted in steps of a tenth of another window. */
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
