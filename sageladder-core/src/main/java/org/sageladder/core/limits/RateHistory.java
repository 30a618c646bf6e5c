package org.sageladder.core.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Counts admissions in steps of a fiftieth of a sliding window, over two windows, so that one
 * window can be compared with the window before it.
 *
 * <p>The growth at a moment is the number of requests in the window that ends then minus the number
 * in the window before. Growth can rise later without any further admission, because the older
 * window loses a busy step. {@link #maxProjectedGrowth()} therefore looks ahead over the coming
 * steps and returns the largest growth that admitting nothing more would still lead to. A target or
 * gate that keeps this below its gain limit keeps its shift cap at every step.
 *
 * <p>Not thread-safe; guarded by its owner's lock.
 */
final class RateHistory {
  /**
   * Steps per window. An observer whose windows begin within a step may see the requests of one
   * step more than the cap allows: a fiftieth of a window at an even rate, and up to the pace limit
   * of a tenth of a window if a burst falls into one step.
   */
  static final int STEPS_PER_WINDOW = 50;

  private static final int KEPT_STEPS = 2 * STEPS_PER_WINDOW;

  /**
   * Intervals of a window whose request count is limited; long enough that random arrivals alone do
   * not reach the limit.
   */
  private static final int INTERVALS_PER_WINDOW = 10;

  private static final int STEPS_PER_INTERVAL = STEPS_PER_WINDOW / INTERVALS_PER_WINDOW;

  /** Maximum count of an interval, as a multiple of its even share of the window. */
  private static final double MAX_PACE_FACTOR = 1.25;

  private final long stepNanos;
  private final int[] counts = new int[KEPT_STEPS];
  private long currentStep;

  private RateHistory(long stepNanos, long step) {
    this.stepNanos = stepNanos;
    this.currentStep = step;
  }

  /** Creates a history without admissions. */
  static RateHistory create(Duration window, long nowNanos) {
    long stepNanos = Math.max(1, window.toNanos() / STEPS_PER_WINDOW);
    return new RateHistory(stepNanos, Math.floorDiv(nowNanos, stepNanos));
  }

  /** Drops counts that are too old; true if a new step has begun. */
  boolean advanceTo(long nowNanos) {
    long newStep = Math.floorDiv(nowNanos, stepNanos);
    if (newStep <= currentStep) {
      return false;
    }
    long newSteps = Math.min(KEPT_STEPS, newStep - currentStep);
    for (long i = 1; i <= newSteps; i++) {
      counts[bufferIndex(newStep - newSteps + i)] = 0;
    }
    currentStep = newStep;
    return true;
  }

  /**
   * Maximum requests in a tenth of a window, so that a cold target does not get the gain of a whole
   * window at once.
   *
   * <p>A tenth may always have its even share of the gain more than the same tenth one window ago.
   * Without that, a target that uses its gain early in each window, as it must under full demand,
   * would start each window at the low rate of the window before and lose part of its gain.
   *
   * @param previousWindow requests in the window before the one that ends now
   * @param intervalOneWindowAgo requests in the same tenth one window ago
   * @param gainLimit requests by which a window may exceed the one before
   */
  static int paceLimit(int previousWindow, int intervalOneWindowAgo, int gainLimit) {
    double evenShare = MAX_PACE_FACTOR * (previousWindow + gainLimit) / INTERVALS_PER_WINDOW;
    double previousPlusShare =
        intervalOneWindowAgo + MAX_PACE_FACTOR * gainLimit / INTERVALS_PER_WINDOW;
    return Math.max(1, (int) Math.ceil(Math.max(evenShare, previousPlusShare)));
  }

  long stepNanos() {
    return stepNanos;
  }

  /** Admissions per step, newest first. */
  List<Integer> steps() {
    List<Integer> steps = new ArrayList<>(KEPT_STEPS);
    for (int back = 0; back < KEPT_STEPS; back++) {
      steps.add(counts[bufferIndex(currentStep - back)]);
    }
    return steps;
  }

  /**
   * Adds the admissions of another gate, the newest of them {@code stepsAgo} steps before this one.
   */
  void addSteps(List<Integer> steps, int stepsAgo) {
    for (int back = stepsAgo; back < KEPT_STEPS && back - stepsAgo < steps.size(); back++) {
      counts[bufferIndex(currentStep - back)] += steps.get(back - stepsAgo);
    }
  }

  void recordAdmission() {
    counts[bufferIndex(currentStep)]++;
  }

  /** Requests in the tenth of a window that ends with this step. */
  int intervalCount() {
    return sum(0, STEPS_PER_INTERVAL - 1);
  }

  /** Requests in the tenth that lies one window before {@link #intervalCount()}. */
  int intervalCountOneWindowAgo() {
    return sum(STEPS_PER_WINDOW, STEPS_PER_WINDOW + STEPS_PER_INTERVAL - 1);
  }

  /** Requests in the window that ends with this step. */
  int windowCount() {
    return sum(0, STEPS_PER_WINDOW - 1);
  }

  /** Requests in the window before {@link #windowCount()}. */
  int previousWindowCount() {
    return sum(STEPS_PER_WINDOW, KEPT_STEPS - 1);
  }

  /** Growth at each coming step, as many as in two windows, if nothing more is admitted. */
  int[] projectedGrowths() {
    int[] cumulative = new int[KEPT_STEPS + 1];
    for (int back = 0; back < KEPT_STEPS; back++) {
      cumulative[back + 1] = cumulative[back] + counts[bufferIndex(currentStep - back)];
    }
    int[] growths = new int[KEPT_STEPS];
    for (int ahead = 0; ahead < KEPT_STEPS; ahead++) {
      int newerWindow = cumulative[Math.max(0, STEPS_PER_WINDOW - ahead)];
      growths[ahead] = newerWindow - (cumulative[KEPT_STEPS - ahead] - newerWindow);
    }
    return growths;
  }

  /** Largest growth at this and the coming steps if nothing more is admitted. */
  int maxProjectedGrowth() {
    return maxGrowth(projectedGrowths(), 0);
  }

  /** Maximum of one window of {@code growths} that begins {@code from} steps from now, 0 to 50. */
  static int maxGrowth(int[] growths, int from) {
    int max = Integer.MIN_VALUE;
    for (int ahead = from; ahead < from + STEPS_PER_WINDOW; ahead++) {
      max = Math.max(max, growths[ahead]);
    }
    return max;
  }

  /**
   * Steps from now until one more request may be admitted if the window may grow by {@code
   * gainLimit}.
   */
  static int stepsUntilAdmission(int[] growths, int gainLimit) {
    int steps = 1;
    while (steps < STEPS_PER_WINDOW && maxGrowth(growths, steps) >= gainLimit) {
      steps++;
    }
    return steps;
  }

  /**
   * Monotonic time at which one more request may be admitted if the window may grow by {@code
   * gainLimit}.
   */
  long nextAdmissionNanos(int gainLimit) {
    return nextStepNanos() + (stepsUntilAdmission(projectedGrowths(), gainLimit) - 1) * stepNanos;
  }

  /** Monotonic time at which the next step begins. */
  long nextStepNanos() {
    return (currentStep + 1) * stepNanos;
  }

  /** Converts the counts to the steps of another window, at the same rates. */
  RateHistory resampled(Duration window, long nowNanos) {
    RateHistory converted = create(window, nowNanos);
    for (int back = 0; back < KEPT_STEPS; back++) {
      long sourceBack = back * converted.stepNanos / stepNanos;
      if (sourceBack >= KEPT_STEPS) {
        break;
      }
      double perNano = (double) counts[bufferIndex(currentStep - sourceBack)] / stepNanos;
      converted.counts[converted.bufferIndex(converted.currentStep - back)] =
          (int) (perNano * converted.stepNanos);
    }
    return converted;
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
