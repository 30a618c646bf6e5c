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
 * so {@link #maxProjectedGrowth()} looks ahead over the steps to come and says the largest growth
 * that no abstaining could avert. A place that keeps that below its allowance keeps its cap at each
 * step.
 *
 * <p>Not safe for use by several threads; its owner's lock guards it.
 */
final class RateHistory {
  /**
   * Steps in one window. An observer whose windows begin within a step may see the requests of one
   * step more than the cap: a fiftieth of a window at an even pace, and the pace of a tenth where a
   * burst falls into one step.
   */
  static final int STEPS_PER_WINDOW = 50;

  private static final int KEPT_STEPS = 2 * STEPS_PER_WINDOW;

  /** Parts of a window whose pace is bounded; long enough that chance arrivals do not bind. */
  private static final int INTERVALS_PER_WINDOW = 10;

  private static final int STEPS_PER_INTERVAL = STEPS_PER_WINDOW / INTERVALS_PER_WINDOW;

  /** Multiple of a part's even share that may be used in one part. */
  private static final double MAX_PACE_FACTOR = 1.25;

  private final long stepNanos;
  private final int[] counts = new int[KEPT_STEPS];
  private long currentStep;

  private RateHistory(long stepNanos, long step) {
    this.stepNanos = stepNanos;
    this.currentStep = step;
  }

  /** A place that has admitted nothing yet. */
  static RateHistory create(Duration window, long nowNanos) {
    long stepNanos = Math.max(1, window.toNanos() / STEPS_PER_WINDOW);
    return new RateHistory(stepNanos, Math.floorDiv(nowNanos, stepNanos));
  }

  /** Forgets what has grown too old; true where a new step has begun. */
  boolean advanceTo(long nowNanos) {
    long newStep = Math.floorDiv(nowNanos, stepNanos);
    if (newStep <= currentStep) {
      return false;
    }
    long fresh = Math.min(KEPT_STEPS, newStep - currentStep);
    for (long i = 1; i <= fresh; i++) {
      counts[bufferIndex(newStep - fresh + i)] = 0;
    }
    currentStep = newStep;
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
    double evenPart = MAX_PACE_FACTOR * (before + units) / INTERVALS_PER_WINDOW;
    double grown = windowAgo + MAX_PACE_FACTOR * units / INTERVALS_PER_WINDOW;
    return Math.max(1, (int) Math.ceil(Math.max(evenPart, grown)));
  }

  long stepNanos() {
    return stepNanos;
  }

  /** Admissions step by step, newest first. */
  List<Integer> steps() {
    List<Integer> steps = new ArrayList<>(KEPT_STEPS);
    for (int back = 0; back < KEPT_STEPS; back++) {
      steps.add(counts[bufferIndex(currentStep - back)]);
    }
    return steps;
  }

  /** Adds admissions made elsewhere, the newest of them {@code stepsAgo} steps before this one. */
  void addSteps(List<Integer> steps, int stepsAgo) {
    for (int back = stepsAgo; back < KEPT_STEPS && back - stepsAgo < steps.size(); back++) {
      counts[bufferIndex(currentStep - back)] += steps.get(back - stepsAgo);
    }
  }

  void recordAdmission() {
    counts[bufferIndex(currentStep)]++;
  }

  /** Requests of the tenth of a window that ends with this step. */
  int intervalCount() {
    return sum(0, STEPS_PER_INTERVAL - 1);
  }

  /** Requests of the tenth that lies one window before {@link #intervalCount()}. */
  int intervalCountOneWindowAgo() {
    return sum(STEPS_PER_WINDOW, STEPS_PER_WINDOW + STEPS_PER_INTERVAL - 1);
  }

  /** Requests of the window that ends with this step. */
  int windowCount() {
    return sum(0, STEPS_PER_WINDOW - 1);
  }

  /** Requests of the window before {@link #windowCount()}. */
  int previousWindowCount() {
    return sum(STEPS_PER_WINDOW, KEPT_STEPS - 1);
  }

  /**
   * Growth {@code ahead} steps from now, 0 to twice {@link #STEPS_PER_WINDOW}, if nothing more
   * comes.
   */
  int[] projectedGrowths() {
    int[] newest = new int[KEPT_STEPS + 1];
    for (int back = 0; back < KEPT_STEPS; back++) {
      newest[back + 1] = newest[back] + counts[bufferIndex(currentStep - back)];
    }
    int[] growths = new int[KEPT_STEPS];
    for (int ahead = 0; ahead < KEPT_STEPS; ahead++) {
      int recent = newest[Math.max(0, STEPS_PER_WINDOW - ahead)];
      growths[ahead] = recent - (newest[KEPT_STEPS - ahead] - recent);
    }
    return growths;
  }

  /** Largest growth of this and the steps to come if nothing more is admitted. */
  int maxProjectedGrowth() {
    return maxGrowth(projectedGrowths(), 0);
  }

  /** Largest of a window of {@code growths} that begins {@code from} steps from now, 0 to 50. */
  static int maxGrowth(int[] growths, int from) {
    int worst = Integer.MIN_VALUE;
    for (int ahead = from; ahead < from + STEPS_PER_WINDOW; ahead++) {
      worst = Math.max(worst, growths[ahead]);
    }
    return worst;
  }

  /** Steps from now after which a place that may grow by {@code units} may admit one more. */
  static int stepsUntilAdmission(int[] growths, int units) {
    int steps = 1;
    while (steps < STEPS_PER_WINDOW && maxGrowth(growths, steps) >= units) {
      steps++;
    }
    return steps;
  }

  /** Monotonic time at which a place that may grow by {@code units} may admit one more. */
  long nextAdmissionNanos(int units) {
    return nextStepNanos() + (stepsUntilAdmission(projectedGrowths(), units) - 1) * stepNanos;
  }

  /** Monotonic time at which the next step begins. */
  long nextStepNanos() {
    return (currentStep + 1) * stepNanos;
  }

  /** The same rates counted in steps of another window. */
  RateHistory resampled(Duration window, long nowNanos) {
    RateHistory other = create(window, nowNanos);
    for (int back = 0; back < KEPT_STEPS; back++) {
      long here = back * other.stepNanos / stepNanos;
      if (here >= KEPT_STEPS) {
        break;
      }
      double perNano = (double) counts[bufferIndex(currentStep - here)] / stepNanos;
      other.counts[other.bufferIndex(other.currentStep - back)] = (int) (perNano * other.stepNanos);
    }
    return other;
  }

  private int sum(int newestBack, int oldestBack) {
    int sum = 0;
    for (int back = newestBack; back <= oldestBack; back++) {
      sum += counts[bufferIndex(currentStep - back)];
    }
    return sum;
  }

  private static int bufferIndex(long step) {
    return (int) Math.floorMod(step, (long) KEPT_STEPS);
  }
}
