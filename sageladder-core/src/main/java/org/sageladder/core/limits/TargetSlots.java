package org.sageladder.core.limits;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.Holding;

/**
 * The counts that a gate keeps for one incarnation of one target: slots in use, shift caps and
 * health.
 *
 * <p>Not thread-safe; guarded by the gate's lock.
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
   * Creates the counts of a target that has just been assigned to this gate.
   *
   * @param workAllowedFromNanos monotonic time from which the target may get requests and its gain
   *     may be used
   * @param previousHold the counts of an earlier time when this gate held the same target, or null
   */
  TargetSlots(
      Holding holding,
      Contract.Service service,
      long nowNanos,
      long workAllowedFromNanos,
      @Nullable TargetSlots previousHold) {
    this.previousHold = previousHold;
    this.holding = holding;
    this.draining = holding.isDraining();
    this.health = TargetHealth.ofColdTarget(service);
    this.history = RateHistory.create(service.targetShiftCap().window(), nowNanos);
    this.regionHistory = RateHistory.create(service.regionShiftCap().window(), nowNanos);
    this.startedCold = workAllowedFromNanos - nowNanos <= 0;
    this.workAllowedFromNanos = workAllowedFromNanos;
    this.gainAvailableFromNanos = workAllowedFromNanos;
  }

  Holding holding() {
    return holding;
  }

  /** Requests in flight that were admitted since the target was last assigned to this gate. */
  int ownInFlight() {
    return inFlight;
  }

  /**
   * Requests in flight from this gate, including those of an earlier time when it held the target.
   */
  int inFlight() {
    return inFlight + (previousHold == null ? 0 : previousHold.inFlight());
  }

  /** Admissions in steps of the window of the target's shift cap. */
  RateHistory history() {
    return history;
  }

  /** Admissions in steps of the window of the region's shift cap. */
  RateHistory regionHistory() {
    return regionHistory;
  }

  long nextStepNanos() {
    return Math.min(history.nextStepNanos(), regionHistory.nextStepNanos());
  }

  /** Advances both histories to {@code nowNanos}; true if a step of either window has begun. */
  boolean advanceTo(long nowNanos) {
    boolean isNewStep = history.advanceTo(nowNanos);
    boolean isNewRegionStep = regionHistory.advanceTo(nowNanos);
    return isNewStep || isNewRegionStep;
  }

  /** Converts the counts to the window lengths of a new contract revision. */
  void resample(Contract.Service service, long nowNanos) {
    history = history.resampled(service.targetShiftCap().window(), nowNanos);
    regionHistory = regionHistory.resampled(service.regionShiftCap().window(), nowNanos);
  }

  /**
   * Recomputes what this step still allows if the target's window may grow by {@code gainLimit}.
   */
  void updateAllowance(int gainLimit) {
    allowance = gainLimit - history.maxProjectedGrowth();
    paceLimit =
        RateHistory.paceLimit(
            history.previousWindowCount(), history.intervalCountOneWindowAgo(), gainLimit);
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
   * True if this gate may use the target's share of the region's gain: the target is held, and the
   * gain of the window before the take-over can no longer be in use at another gate. A draining
   * target still contributes, since its requests go to the gate's other targets.
   */
  boolean contributesGain(long nowNanos) {
    return held && isGainAvailable(nowNanos);
  }

  boolean isGainAvailable(long nowNanos) {
    return nowNanos - gainAvailableFromNanos >= 0;
  }

  /** True while requests admitted by the previous gate may still count as growth of the target. */
  boolean isWaitingAfterTakeover(long nowNanos) {
    return nowNanos - workAllowedFromNanos < 0;
  }

  /** Monotonic time at which the wait after a take-over ends. */
  long workAllowedFromNanos() {
    return workAllowedFromNanos;
  }

  /** Imports what the previous gate counted. Accepted only while the target still waits for it. */
  boolean importHistory(TargetHistory imported, int stepsAgo, int regionStepsAgo, long nowNanos) {
    if (startedCold || !isWaitingAfterTakeover(nowNanos)) {
      return false;
    }
    if (imported.waitMillis() > 0) {
      long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(imported.waitMillis());
      workAllowedFromNanos = Math.min(workAllowedFromNanos, untilNanos);
      gainAvailableFromNanos = Math.min(gainAvailableFromNanos, untilNanos);
      return true;
    }
    history.addSteps(imported.targetSteps(), stepsAgo);
    workAllowedFromNanos = nowNanos;
    health.skipSlowStart(holding.slots());
    previousGateInFlight = imported.inFlight();
    historyImportedNanos = nowNanos;
    if (imported.gainReleased()) {
      regionHistory.addSteps(imported.regionSteps(), regionStepsAgo);
      gainAvailableFromNanos = nowNanos;
    }
    return true;
  }

  /** Replaces the holding by a newer one of the same incarnation. Draining is never undone. */
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

  /**
   * Monotonic time at which the target was taken from this gate; valid only if it is no longer
   * held.
   */
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

  /** Slots that holding, load report and health together allow to be in use. */
  int usableSlots(long nowNanos) {
    if (!acceptsWork() || isWaitingAfterTakeover(nowNanos)) {
      return 0;
    }
    int slotLimit =
        Math.min(reportedSlotLimit(nowNanos), health.concurrencyLimit(holding.slots(), nowNanos));
    return Math.max(0, Math.min(slotLimit, holding.slots() - previousGateInFlight(nowNanos)));
  }

  /**
   * Requests of the previous gate that may still run, until a load report is newer than the
   * history.
   */
  private int previousGateInFlight(long nowNanos) {
    return nowNanos - historyImportedNanos > MAX_REPORT_AGE_NANOS ? 0 : previousGateInFlight;
  }

  /**
   * Upper bound of the requests that this gate and the previous one have in flight on the target.
   */
  int maxInFlight(long nowNanos) {
    return inFlight() + previousGateInFlight(nowNanos);
  }

  /**
   * Slots that holding and load report allow.
   *
   * <p>Reports may be stale or wrong, so a report never removes the last slot. Otherwise a target
   * that reported "full" forever would get no requests and could never prove the report wrong.
   */
  private int reportedSlotLimit(long nowNanos) {
    if (nowNanos - lastReportNanos > MAX_REPORT_AGE_NANOS) {
      return holding.slots();
    }
    return Math.max(1, Math.min(holding.slots(), reportedSlots) - otherBusySlots);
  }

  /**
   * Processes a load report. Busy slots in excess of this gate's requests in flight are in use by
   * others.
   */
  void onLoadReport(int reportedBusy, int slots, long reportNanos) {
    otherBusySlots = Math.max(0, reportedBusy - inFlight());
    reportedSlots = slots;
    lastReportNanos = reportNanos;
    if (reportNanos - historyImportedNanos > 0) {
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
