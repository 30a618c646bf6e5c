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
  private static final long MAX_REPORT_AGE_NANOS = Duration.ofSeconds(2).toNanos();

  private final TargetHealth health;
  private RateHistory history;
  private RateHistory regionHistory;
  private final boolean startedCold;
  private long workAllowedFromNanos;
  private long gainAvailableFromNanos;
  private Holding holding;
  private final @Nullable TargetSlots previousHold;
  private boolean held = true;
  private boolean draining;
  private boolean historyExported;
  private long releasedNanos;
  private int inFlight;
  private int allowance;
  private int paceLimit;
  private int previousGateInFlight;
  private long historyImportedNanos;
  private int otherBusySlots;
  private int reportedSlots = Integer.MAX_VALUE;
  private long lastReportNanos;

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
    this.previousHold = earlier;
    this.holding = holding;
    this.draining = holding.isDraining();
    this.health = TargetHealth.ofColdTarget(service);
    this.history = RateHistory.create(service.targetShiftCap().window(), nowNanos);
    this.regionHistory = RateHistory.create(service.regionShiftCap().window(), nowNanos);
    this.startedCold = workFromNanos - nowNanos <= 0;
    this.workAllowedFromNanos = workFromNanos;
    this.gainAvailableFromNanos = workFromNanos;
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
    return inFlight + (previousHold == null ? 0 : previousHold.inFlight());
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
  boolean advanceTo(long nowNanos) {
    boolean newStep = history.advanceTo(nowNanos);
    boolean newRegionStep = regionHistory.advanceTo(nowNanos);
    return newStep || newRegionStep;
  }

  /** Counts in steps of the windows of a new revision. */
  void resample(Contract.Service service, long nowNanos) {
    history = history.resampled(service.targetShiftCap().window(), nowNanos);
    regionHistory = regionHistory.resampled(service.regionShiftCap().window(), nowNanos);
  }

  /** Works out what this step still allows where the target's window may grow by {@code units}. */
  void updateAllowance(int units) {
    allowance = units - history.maxProjectedGrowth();
    paceLimit =
        RateHistory.paceLimit(
            history.previousWindowCount(), history.intervalCountOneWindowAgo(), units);
  }

  boolean isCapped() {
    return allowance <= 0 || history.intervalCount() >= paceLimit;
  }

  TargetHealth health() {
    return health;
  }

  boolean isHeld() {
    return held;
  }

  /**
   * True where its part of the region's gain may be used here: once the gain of the window before
   * the take-over can no longer be in use elsewhere, and as long as the target is held. While it
   * leaves, its work goes to the gate's other targets, and its part of the gain has to go with it.
   */
  boolean contributesGain(long nowNanos) {
    return held && isGainAvailable(nowNanos);
  }

  boolean isGainAvailable(long nowNanos) {
    return nowNanos - gainAvailableFromNanos >= 0;
  }

  /** True while the gate that had the target may still be the cause of growth at the target. */
  boolean isWaitingAfterTakeover(long nowNanos) {
    return nowNanos - workAllowedFromNanos < 0;
  }

  /** When the wait for the window of the gate before is over. */
  long workAllowedFromNanos() {
    return workAllowedFromNanos;
  }

  /** Takes what the gate before counted; only a target that still waits for it accepts it. */
  boolean importHistory(TargetHistory told, int stepsAgo, int regionStepsAgo, long nowNanos) {
    if (startedCold || !isWaitingAfterTakeover(nowNanos)) {
      return false;
    }
    if (told.waitMillis() > 0) {
      long until = nowNanos + TimeUnit.MILLISECONDS.toNanos(told.waitMillis());
      workAllowedFromNanos = Math.min(workAllowedFromNanos, until);
      gainAvailableFromNanos = Math.min(gainAvailableFromNanos, until);
      return true;
    }
    history.addSteps(told.targetSteps(), stepsAgo);
    workAllowedFromNanos = nowNanos;
    health.skipSlowStart(holding.slots());
    previousGateInFlight = told.inFlight();
    historyImportedNanos = nowNanos;
    if (told.gainReleased()) {
      regionHistory.addSteps(told.regionSteps(), regionStepsAgo);
      gainAvailableFromNanos = nowNanos;
    }
    return true;
  }

  /** Takes a newer holding of the same incarnation; leaving is never undone. */
  void updateHolding(Holding newer) {
    holding = newer;
    held = true;
    draining |= newer.isDraining();
  }

  void markHistoryExported() {
    historyExported = true;
  }

  boolean isHistoryExported() {
    return historyExported;
  }

  void markReleased(long nowNanos) {
    if (held) {
      held = false;
      releasedNanos = nowNanos;
    }
  }

  /** When another gate, or none, got the target; only where it is no longer held. */
  long releasedNanos() {
    return releasedNanos;
  }

  void markDraining() {
    draining = true;
  }

  boolean isDraining() {
    return draining;
  }

  boolean acceptsWork() {
    return held && !draining;
  }

  /** Slots that may be used by view, report and experience together. */
  int usableSlots(long nowNanos) {
    if (!acceptsWork() || isWaitingAfterTakeover(nowNanos)) {
      return 0;
    }
    int allowed =
        Math.min(reportedSlotLimit(nowNanos), health.concurrencyLimit(holding.slots(), nowNanos));
    return Math.max(0, Math.min(allowed, holding.slots() - previousGateInFlight(nowNanos)));
  }

  /** Requests of the gate before that may still run, until a report is newer than its word. */
  private int previousGateInFlight(long nowNanos) {
    return nowNanos - historyImportedNanos > MAX_REPORT_AGE_NANOS ? 0 : previousGateInFlight;
  }

  /** Requests that may run on the target by way of this gate or the one before. */
  int maxInFlight(long nowNanos) {
    return inFlight() + previousGateInFlight(nowNanos);
  }

  /**
   * Slots by view and report alone.
   *
   * <p>Reports lag and mislead, so one alone never takes the last slot: a target that reported
   * "full" for ever would otherwise get no work and so could never show that it is well.
   */
  private int reportedSlotLimit(long nowNanos) {
    if (nowNanos - lastReportNanos > MAX_REPORT_AGE_NANOS) {
      return holding.slots();
    }
    return Math.max(1, Math.min(holding.slots(), reportedSlots) - otherBusySlots);
  }

  /** Takes the target's report; busy slots beyond those in flight here belong to somebody else. */
  void onLoadReport(int busy, int slots, long takenNanos) {
    otherBusySlots = Math.max(0, busy - inFlight());
    reportedSlots = slots;
    lastReportNanos = takenNanos;
    if (takenNanos - historyImportedNanos > 0) {
      previousGateInFlight = 0;
    }
  }

  int freeSlots(long nowNanos) {
    return Math.max(0, usableSlots(nowNanos) - inFlight());
  }

  void acquire() {
    inFlight++;
    allowance--;
    history.recordAdmission();
    regionHistory.recordAdmission();
  }

  void release() {
    inFlight--;
  }
}
