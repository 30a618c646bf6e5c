package org.sageladder.core.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.HoldingGuard;

/**
 * The targets that one gate holds, and the number of requests that the shift caps still allow: the
 * cap of each target, and this gate's share of the cap of the region.
 *
 * <p>A shift cap limits growth: a sliding window may have at most a gain, a fixed number of
 * requests, more than the window before it.
 *
 * <p>Not thread-safe; guarded by the gate's lock.
 */
final class TargetPool {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Map<String, TargetSlots> targets = new HashMap<>();

  /**
   * Targets no longer held whose growth still counts here, because no other gate may know of it.
   */
  private final List<TargetSlots> formerTargets = new ArrayList<>();

  private final HoldingGuard guard;
  private Contract.Service service;
  private int gateAllowance;
  private int gatePaceLimit;
  private int gateIntervalCount;
  private RateHistory stepClock;

  TargetPool(Contract.Service service, HoldingGuard guard, long nowNanos) {
    this.service = service;
    this.guard = guard;
    this.stepClock = RateHistory.create(service.regionShiftCap().window(), nowNanos);
  }

  /**
   * Result of a selection.
   *
   * @param target the selected target, or null if there is none
   * @param isCapped true if there is none because of a shift cap
   */
  record Choice(@Nullable TargetSlots target, boolean isCapped) {}

  Contract.Service service() {
    return service;
  }

  void updateService(Contract.Service newService, long nowNanos) {
    boolean sameWindows =
        newService.regionShiftCap().window().equals(service.regionShiftCap().window())
            && newService.targetShiftCap().window().equals(service.targetShiftCap().window());
    service = newService;
    if (!sameWindows) {
      stepClock = RateHistory.create(newService.regionShiftCap().window(), nowNanos);
      targets.values().forEach(target -> target.resample(newService, nowNanos));
      formerTargets.forEach(target -> target.resample(newService, nowNanos));
    }
    updateAllowances(nowNanos);
  }

  /**
   * Replaces the targets held.
   *
   * @param takenOver names of the targets that another entry VM held until now. They get requests
   *     one window later, since the other VM may have used their gain just before, or as soon as
   *     their history is imported.
   */
  void updateHoldings(List<Holding> holdings, Set<String> takenOver, long nowNanos) {
    Set<String> names = new HashSet<>();
    for (Holding holding : holdings) {
      names.add(holding.target());
      updateHolding(holding, takenOver.contains(holding.target()), nowNanos);
    }
    for (TargetSlots target : List.copyOf(targets.values())) {
      if (!names.contains(target.holding().target())) {
        target.markReleased(nowNanos);
      }
    }
    updateAllowances(nowNanos);
  }

  private void updateHolding(Holding holding, boolean takenOver, long nowNanos) {
    TargetSlots slots = targets.get(holding.target());
    boolean sameIncarnation =
        slots != null && slots.holding().targetIncarnation() == holding.targetIncarnation();
    if (slots != null && sameIncarnation && (slots.isHeld() || !takenOver)) {
      slots.updateHolding(holding);
      return;
    }
    if (slots != null) {
      slots.markReleased(nowNanos);
      formerTargets.add(slots);
    }
    long workAllowedFromNanos = takenOver ? nowNanos + takeoverWaitNanos() : nowNanos;
    targets.put(
        holding.target(),
        new TargetSlots(
            holding, service, nowNanos, workAllowedFromNanos, sameIncarnation ? slots : null));
  }

  /**
   * How long the requests that another gate admitted may still count in the window of either cap.
   */
  private long takeoverWaitNanos() {
    long windowNanos =
        Math.max(
            service.regionShiftCap().window().toNanos(),
            service.targetShiftCap().window().toNanos());
    return windowNanos + windowNanos / RateHistory.STEPS_PER_WINDOW;
  }

  @Nullable TargetSlots target(String name) {
    return targets.get(name);
  }

  /**
   * Returns what this gate counted of a target that it no longer holds, or how long it still had to
   * wait after its own take-over. Null if it has no history or has already exported it.
   *
   * <p>The target's share of the region's gain is released only if the remaining targets stay
   * within the remaining gain whatever the new gate does. Targets that were reassigned earlier
   * count with their growth, since their new gates may not have received it.
   */
  @Nullable TargetHistory exportHistory(String name, long nowNanos, long nowMillis) {
    TargetSlots target = targets.get(name);
    if (target == null || target.isHeld() || target.isHistoryExported()) {
      return null;
    }
    target.markHistoryExported();
    if (target.isWaitingAfterTakeover(nowNanos)) {
      // Without this the next gate would wait a full window again, and waits would add up with each
      // VM that joins.
      long remainingNanos = target.workAllowedFromNanos() - nowNanos;
      return TargetHistory.stillWaiting(
          name,
          target.holding().targetIncarnation(),
          nowMillis,
          target.maxInFlight(nowNanos),
          Math.floorDiv(remainingNanos, NANOS_PER_MILLI) + 1);
    }
    updateAllowances(nowNanos);
    int othersGrowth = RateHistory.maxGrowth(totalGrowthsExcept(target), 0);
    boolean gainReleased =
        target.isGainAvailable(nowNanos) && othersGrowth <= gateGainLimit(nowNanos);
    return new TargetHistory(
        name,
        target.holding().targetIncarnation(),
        nowMillis,
        target.maxInFlight(nowNanos),
        target.history().steps(),
        target.regionHistory().steps(),
        gainReleased,
        0);
  }

  /** Imports what the previous gate counted of a target that is held here now. */
  boolean importHistory(TargetHistory history, long nowNanos, long nowMillis) {
    TargetSlots target = targets.get(history.target());
    if (target == null || target.holding().targetIncarnation() != history.targetIncarnation()) {
      return false;
    }
    updateAllowances(nowNanos);
    long ageNanos = Math.max(0, nowMillis - history.takenAtMillis()) * 1_000_000;
    int stepsAgo = (int) Math.min(10_000, ageNanos / target.history().stepNanos());
    int regionStepsAgo = (int) Math.min(10_000, ageNanos / target.regionHistory().stepNanos());
    boolean imported = target.importHistory(history, stepsAgo, regionStepsAgo, nowNanos);
    updateAllowances(nowNanos);
    return imported;
  }

  boolean hasTargetOtherThan(String excluded) {
    for (TargetSlots target : targets.values()) {
      if (target.acceptsWork() && !target.holding().target().equals(excluded)) {
        return true;
      }
    }
    return false;
  }

  List<Holding> held() {
    return targets.values().stream()
        .filter(TargetSlots::acceptsWork)
        .map(TargetSlots::holding)
        .toList();
  }

  int heldTargetCount() {
    int count = 0;
    for (TargetSlots target : targets.values()) {
      count += target.acceptsWork() ? 1 : 0;
    }
    return count;
  }

  int usableSlots(long nowNanos) {
    int slots = 0;
    for (TargetSlots target : targets.values()) {
      slots += target.usableSlots(nowNanos);
    }
    return slots;
  }

  int busySlots() {
    int busy = 0;
    for (TargetSlots target : targets.values()) {
      busy += target.ownInFlight();
    }
    for (TargetSlots target : formerTargets) {
      busy += target.ownInFlight();
    }
    return busy;
  }

  /**
   * Selects the target with the largest fraction of free slots among those whose shift cap allows
   * one more request.
   */
  Choice selectTarget(String excluded, long nowNanos) {
    advanceTo(nowNanos);
    boolean gateCapped = gateAllowance <= 0 || gateIntervalCount >= gatePaceLimit;
    boolean capped = false;
    TargetSlots best = null;
    for (TargetSlots target : targets.values()) {
      if (target.freeSlots(nowNanos) == 0 || target.holding().target().equals(excluded)) {
        continue;
      }
      if (gateCapped || target.isCapped()) {
        capped = true;
        continue;
      }
      if (best == null || freeFraction(target, nowNanos) > freeFraction(best, nowNanos)) {
        best = target;
      }
    }
    return new Choice(best, best == null && capped);
  }

  private static double freeFraction(TargetSlots target, long nowNanos) {
    return (double) target.freeSlots(nowNanos) / target.usableSlots(nowNanos);
  }

  private int targetGainLimit(TargetSlots target) {
    Contract.ShiftCap cap = service.targetShiftCap();
    return Math.max(
        1, (int) (cap.gainFraction() * capacityPerSecond(target) * seconds(cap.window())));
  }

  /**
   * Requests per second that this gate may count on for the target. If the zone no longer confirms
   * this entry VM, another one may have taken over the other half of the slots, and with it the
   * other half of the gain.
   */
  private double capacityPerSecond(TargetSlots target) {
    return guard.usableSlots(target.holding()) * 1000.0 / service.meanServiceMillis();
  }

  private static double seconds(Duration window) {
    return window.toNanos() / 1e9;
  }

  void acquireSlot(TargetSlots target) {
    target.acquire();
    gateAllowance--;
    gateIntervalCount++;
  }

  void releaseSlot(TargetSlots target, Admission.Completion completion, long nowNanos) {
    target.release();
    target.health().recordCompletion(completion, target.holding().slots(), nowNanos);
    if (completion == Admission.Completion.LEAVING) {
      target.markDraining();
    }
  }

  /**
   * Requests by which this gate may grow the region's window: the share of the region's gain that
   * belongs to the targets it holds. At least one, or a slow service would never get its first
   * request.
   */
  int gateGainLimit(long nowNanos) {
    Contract.ShiftCap cap = service.regionShiftCap();
    double sharedCapacity = 0;
    for (TargetSlots target : targets.values()) {
      sharedCapacity += target.contributesGain(nowNanos) ? capacityPerSecond(target) : 0;
    }
    if (sharedCapacity == 0) {
      return 0;
    }
    return Math.max(1, (int) (cap.gainFraction() * sharedCapacity * seconds(cap.window())));
  }

  /** Maximum requests per second that the caps and the slots allow now. */
  double ceilingPerSecond(long nowNanos) {
    advanceTo(nowNanos);
    double bySlots = usableSlots(nowNanos) * 1000.0 / service.meanServiceMillis();
    int windowLimit = gateGainLimit(nowNanos);
    for (TargetSlots target : targets.values()) {
      windowLimit += target.acceptsWork() ? target.regionHistory().previousWindowCount() : 0;
    }
    return Math.min(bySlots, windowLimit / seconds(service.regionShiftCap().window()));
  }

  /** Admitted requests per second over the last complete window. */
  double admittedPerSecond(long nowNanos) {
    advanceTo(nowNanos);
    int admitted = 0;
    for (TargetSlots target : targets.values()) {
      admitted += target.regionHistory().windowCount();
    }
    return admitted / seconds(service.regionShiftCap().window());
  }

  /**
   * Monotonic time of the next event that may allow another request: a step of a window, the end of
   * an ejection or the end of a wait after a take-over.
   */
  long nextChangeNanos(long nowNanos) {
    long next = stepClock.nextStepNanos();
    for (TargetSlots target : targets.values()) {
      if (target.health().isEjected(nowNanos)) {
        next = Math.min(next, target.health().ejectedUntilNanos());
      }
      if (target.isWaitingAfterTakeover(nowNanos)) {
        next = Math.min(next, target.workAllowedFromNanos());
      }
      next = Math.min(next, target.nextStepNanos());
    }
    return next;
  }

  /**
   * Monotonic time at which the caps allow one more request, provided that no other is admitted
   * first.
   */
  long nextAdmissionNanos(long nowNanos) {
    advanceTo(nowNanos);
    int gainLimit = gateGainLimit(nowNanos);
    int steps = RateHistory.stepsUntilAdmission(totalGrowths(), gainLimit);
    long gateNanos = stepClock.nextStepNanos() + (steps - 1) * stepClock.stepNanos();
    long earliestTargetNanos = Long.MAX_VALUE;
    for (TargetSlots target : targets.values()) {
      if (target.acceptsWork()) {
        long targetNanos =
            target.isCapped()
                ? target.history().nextAdmissionNanos(targetGainLimit(target))
                : nowNanos;
        earliestTargetNanos =
            Math.min(earliestTargetNanos, Math.max(targetNanos, target.workAllowedFromNanos()));
      }
    }
    return earliestTargetNanos == Long.MAX_VALUE
        ? gateNanos
        : Math.max(gateNanos, earliestTargetNanos);
  }

  /**
   * Monotonic time before which no target held here may get requests; in the past if one may
   * already.
   */
  long earliestWorkNanos(long nowNanos) {
    long earliestNanos = Long.MAX_VALUE;
    for (TargetSlots target : targets.values()) {
      if (target.acceptsWork()) {
        earliestNanos = Math.min(earliestNanos, target.workAllowedFromNanos());
      }
    }
    return earliestNanos == Long.MAX_VALUE ? nowNanos : earliestNanos;
  }

  private void advanceTo(long nowNanos) {
    boolean isNewStep = stepClock.advanceTo(nowNanos);
    for (TargetSlots target : targets.values()) {
      isNewStep |= target.advanceTo(nowNanos);
    }
    if (isNewStep) {
      updateAllowances(nowNanos);
    }
  }

  private void updateAllowances(long nowNanos) {
    stepClock.advanceTo(nowNanos);
    targets.values().forEach(target -> target.advanceTo(nowNanos));
    formerTargets.forEach(target -> target.advanceTo(nowNanos));
    removeExpired(nowNanos);
    int previousWindow = 0;
    int intervalOneWindowAgo = 0;
    gateIntervalCount = 0;
    for (TargetSlots target : targets.values()) {
      previousWindow += target.regionHistory().previousWindowCount();
      intervalOneWindowAgo += target.regionHistory().intervalCountOneWindowAgo();
      gateIntervalCount += target.regionHistory().intervalCount();
      target.updateAllowance(targetGainLimit(target));
    }
    gateAllowance = gateGainLimit(nowNanos) - RateHistory.maxGrowth(totalGrowths(), 0);
    gatePaceLimit =
        RateHistory.paceLimit(previousWindow, intervalOneWindowAgo, gateGainLimit(nowNanos));
  }

  /**
   * Projected growth of all targets together for the coming steps.
   *
   * <p>A target that is no longer held counts only if it has grown: its new holder may not know of
   * that growth. If it has shrunk, the lower base went with it to the new holder and must not be
   * used here.
   */
  private int[] totalGrowths() {
    return totalGrowthsExcept(null);
  }

  private int[] totalGrowthsExcept(@Nullable TargetSlots excluded) {
    int[] sums = new int[2 * RateHistory.STEPS_PER_WINDOW];
    for (TargetSlots target : targets.values()) {
      if (target != excluded) {
        addGrowths(target, target.isHeld() ? Integer.MIN_VALUE : 0, sums);
      }
    }
    formerTargets.forEach(target -> addGrowths(target, 0, sums));
    return sums;
  }

  private static void addGrowths(TargetSlots target, int minGrowth, int[] sums) {
    int[] growths = target.regionHistory().projectedGrowths();
    for (int ahead = 0; ahead < sums.length; ahead++) {
      sums[ahead] += Math.max(minGrowth, growths[ahead]);
    }
  }

  /**
   * Removes targets whose counts no longer matter.
   *
   * <p>A target that was reassigned without having had any requests is kept until its history has
   * been exported, for one window at most. Otherwise its new gate would wait a whole window for a
   * history that never arrives.
   */
  private void removeExpired(long nowNanos) {
    long exportLimitNanos = nowNanos - takeoverWaitNanos();
    targets
        .values()
        .removeIf(
            target ->
                !target.isHeld()
                    && isExpired(target)
                    && (target.isHistoryExported()
                        || target.releasedNanos() - exportLimitNanos < 0));
    formerTargets.removeIf(TargetPool::isExpired);
  }

  private static boolean isExpired(TargetSlots target) {
    return target.ownInFlight() == 0
        && target.regionHistory().windowCount() == 0
        && target.regionHistory().previousWindowCount() == 0;
  }
}
