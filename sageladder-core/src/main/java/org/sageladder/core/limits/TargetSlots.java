package org.sageladder.core.limits;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.Holding;

/**
 * One incarnation of one target as its gate counts it: slots in use, shift cap and experience.
 *
 * <p>Not safe for use by several threads; the gate's lock guards it.
 */
final class TargetSlots {
  private static final long REPORT_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

  private final TargetExperience experience;
  private RateHistory history;
  private RateHistory regionHistory;
  private final boolean coldStartHere;
  private long workFromNanos;
  private long gainFromNanos;
  private Holding holding;
  private final @Nullable TargetSlots earlier;
  private boolean held = true;
  private boolean leaving;
  private boolean handedOver;
  private long lostNanos;
  private int inFlight;
  private int allowance;
  private int paceLimit;
  private int toldBusy;
  private long toldAtNanos;
  private int foreignBusy;
  private int reportedSlots = Integer.MAX_VALUE;
  private long reportTakenNanos;

  /**
   * @param workFromNanos from when on the target may get work and add to the gate's gain
   * @param earlier the same target as this gate held it before another did, or null
   */
  TargetSlots(
      Holding holding,
      Contract.Service service,
      long nowNanos,
      long workFromNanos,
      @Nullable TargetSlots earlier) {
    this.earlier = earlier;
    this.holding = holding;
    this.leaving = holding.leaving();
    this.experience = TargetExperience.ofColdTarget(service);
    this.history = RateHistory.create(service.targetShiftCap().window(), nowNanos);
    this.regionHistory = RateHistory.create(service.regionShiftCap().window(), nowNanos);
    this.coldStartHere = workFromNanos - nowNanos <= 0;
    this.workFromNanos = workFromNanos;
    this.gainFromNanos = workFromNanos;
  }

  Holding holding() {
    return holding;
  }

  /** Requests in flight of this hold alone. */
  int ownInFlight() {
    return inFlight;
  }

  /** Requests in flight from this gate, those of an earlier hold of the target included. */
  int inFlight() {
    return inFlight + (earlier == null ? 0 : earlier.inFlight());
  }

  /** Admissions in steps of the target's own window. */
  RateHistory history() {
    return history;
  }

  /** Admissions in steps of the region's window. */
  RateHistory regionHistory() {
    return regionHistory;
  }

  long nextStepNanos() {
    return Math.min(history.nextStepNanos(), regionHistory.nextStepNanos());
  }

  /** Moves the counts on to {@code nowNanos}; true where a step of either window has begun. */
  boolean rollTo(long nowNanos) {
    boolean newStep = history.rollTo(nowNanos);
    boolean newRegionStep = regionHistory.rollTo(nowNanos);
    return newStep || newRegionStep;
  }

  /** Counts in steps of the windows of a new revision. */
  void resample(Contract.Service service, long nowNanos) {
    history = history.resampled(service.targetShiftCap().window(), nowNanos);
    regionHistory = regionHistory.resampled(service.regionShiftCap().window(), nowNanos);
  }

  /** Works out what this step still allows where the target's window may grow by {@code units}. */
  void recap(int units) {
    allowance = units - history.worstGrowth();
    paceLimit = RateHistory.paceLimit(history.before(), history.windowAgo(), units);
  }

  boolean isCapped() {
    return allowance <= 0 || history.inPart() >= paceLimit;
  }

  TargetExperience experience() {
    return experience;
  }

  boolean isHeld() {
    return held;
  }

  /**
   * True where its part of the region's gain may be used here: once the gain of the window before
   * the take-over can no longer be in use elsewhere, and as long as the target is held. While it
   * leaves, its work goes to the gate's other targets, and its part of the gain has to go with it.
   */
  boolean sharesGain(long nowNanos) {
    return held && hasGainPart(nowNanos);
  }

  boolean hasGainPart(long nowNanos) {
    return nowNanos - gainFromNanos >= 0;
  }

  /** True while the gate that had the target may still be the cause of growth at the target. */
  boolean awaitsWindow(long nowNanos) {
    return nowNanos - workFromNanos < 0;
  }

  /** When the wait for the window of the gate before is over. */
  long workFromNanos() {
    return workFromNanos;
  }

  /** Takes what the gate before counted; only a target that still waits for it accepts it. */
  boolean learn(TargetHistory told, int stepsAgo, int regionStepsAgo, long nowNanos) {
    if (coldStartHere || !awaitsWindow(nowNanos)) {
      return false;
    }
    if (told.waitMillis() > 0) {
      long until = nowNanos + TimeUnit.MILLISECONDS.toNanos(told.waitMillis());
      workFromNanos = Math.min(workFromNanos, until);
      gainFromNanos = Math.min(gainFromNanos, until);
      return true;
    }
    history.addPast(told.targetSteps(), stepsAgo);
    workFromNanos = nowNanos;
    experience.trustWarmTarget(holding.slots());
    toldBusy = told.inFlight();
    toldAtNanos = nowNanos;
    if (told.gainReleased()) {
      regionHistory.addPast(told.regionSteps(), regionStepsAgo);
      gainFromNanos = nowNanos;
    }
    return true;
  }

  /** Takes a newer holding of the same incarnation; leaving is never undone. */
  void update(Holding newer) {
    holding = newer;
    held = true;
    leaving |= newer.leaving();
  }

  void markHandedOver() {
    handedOver = true;
  }

  boolean wasHandedOver() {
    return handedOver;
  }

  void loseHold(long nowNanos) {
    if (held) {
      held = false;
      lostNanos = nowNanos;
    }
  }

  /** When another gate, or none, got the target; only where it is no longer held. */
  long lostNanos() {
    return lostNanos;
  }

  void markLeaving() {
    leaving = true;
  }

  boolean isLeaving() {
    return leaving;
  }

  boolean takesWork() {
    return held && !leaving;
  }

  /** Slots that may be used by view, report and experience together. */
  int usableSlots(long nowNanos) {
    if (!takesWork() || awaitsWindow(nowNanos)) {
      return 0;
    }
    int allowed =
        Math.min(reportedAllowance(nowNanos), experience.limit(holding.slots(), nowNanos));
    return Math.max(0, Math.min(allowed, holding.slots() - toldBusy(nowNanos)));
  }

  /** Requests of the gate before that may still run, until a report is newer than its word. */
  private int toldBusy(long nowNanos) {
    return nowNanos - toldAtNanos > REPORT_LIFE_NANOS ? 0 : toldBusy;
  }

  /** Requests that may run on the target by way of this gate or the one before. */
  int mayRun(long nowNanos) {
    return inFlight() + toldBusy(nowNanos);
  }

  /**
   * Slots by view and report alone.
   *
   * <p>Reports lag and mislead, so one alone never takes the last slot: a target that reported
   * "full" for ever would otherwise get no work and so could never show that it is well.
   */
  private int reportedAllowance(long nowNanos) {
    if (nowNanos - reportTakenNanos > REPORT_LIFE_NANOS) {
      return holding.slots();
    }
    return Math.max(1, Math.min(holding.slots(), reportedSlots) - foreignBusy);
  }

  /** Takes the target's report; busy slots beyond those in flight here belong to somebody else. */
  void report(int busy, int slots, long takenNanos) {
    foreignBusy = Math.max(0, busy - inFlight());
    reportedSlots = slots;
    reportTakenNanos = takenNanos;
    if (takenNanos - toldAtNanos > 0) {
      toldBusy = 0;
    }
  }

  int freeSlots(long nowNanos) {
    return Math.max(0, usableSlots(nowNanos) - inFlight());
  }

  void take() {
    inFlight++;
    allowance--;
    history.add();
    regionHistory.add();
  }

  void giveBack() {
    inFlight--;
  }
}
