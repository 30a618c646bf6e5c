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
 * The targets that one gate holds, and how much their shift caps and this gate's share of the
 * region's shift cap still allow.
 *
 * <p>Not safe for use by several threads; the gate's lock guards it.
 */
final class TargetPool {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Map<String, TargetSlots> targets = new HashMap<>();

  /** Lost targets whose growth still counts here, because nobody else may know of it. */
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

  /** Why no target could be chosen, or which was. */
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
   * @param takenOver those that another entry VM held until now: they get work one window later,
   *     since the other may have made them grow a moment ago, or as soon as their history is known
   */
  void updateHoldings(List<Holding> holdings, Set<String> takenOver, long nowNanos) {
    Set<String> named = new HashSet<>();
    for (Holding holding : holdings) {
      named.add(holding.target());
      updateHolding(holding, takenOver.contains(holding.target()), nowNanos);
    }
    for (TargetSlots target : List.copyOf(targets.values())) {
      if (!named.contains(target.holding().target())) {
        target.markReleased(nowNanos);
      }
    }
    updateAllowances(nowNanos);
  }

  private void updateHolding(Holding holding, boolean takenOver, long nowNanos) {
    TargetSlots known = targets.get(holding.target());
    boolean sameIncarnation =
        known != null && known.holding().targetIncarnation() == holding.targetIncarnation();
    if (known != null && sameIncarnation && (known.isHeld() || !takenOver)) {
      known.updateHolding(holding);
      return;
    }
    if (known != null) {
      known.markReleased(nowNanos);
      formerTargets.add(known);
    }
    long workFrom = takenOver ? nowNanos + takeoverWaitNanos() : nowNanos;
    targets.put(
        holding.target(),
        new TargetSlots(holding, service, nowNanos, workFrom, sameIncarnation ? known : null));
  }

  /** How long what another gate let through may still count in either cap's window. */
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
   * What this gate counted of a target that it no longer holds, or how long it still had to wait
   * for the gate before it; null where it knows of none or has told.
   *
   * <p>The target's part of the region's gain is released only where the targets left here keep to
   * what is left of it, whatever the new gate does. Targets lost before count with what they have
   * grown: their new gates may not have been told of it.
   */
  @Nullable TargetHistory exportHistory(String name, long nowNanos, long nowMillis) {
    TargetSlots target = targets.get(name);
    if (target == null || target.isHeld() || target.isHistoryExported()) {
      return null;
    }
    target.markHistoryExported();
    if (target.isWaitingAfterTakeover(nowNanos)) {
      // The next gate would else begin a whole wait of its own, one for each VM that joins.
      long leftNanos = target.workAllowedFromNanos() - nowNanos;
      return TargetHistory.stillWaiting(
          name,
          target.holding().targetIncarnation(),
          nowMillis,
          target.maxInFlight(nowNanos),
          Math.floorDiv(leftNanos, NANOS_PER_MILLI) + 1);
    }
    updateAllowances(nowNanos);
    int othersGrowth = RateHistory.maxGrowth(totalGrowthsExcept(target), 0);
    boolean released = target.isGainAvailable(nowNanos) && othersGrowth <= gateGainLimit(nowNanos);
    return new TargetHistory(
        name,
        target.holding().targetIncarnation(),
        nowMillis,
        target.maxInFlight(nowNanos),
        target.history().steps(),
        target.regionHistory().steps(),
        released,
        0);
  }

  /** Takes what the gate before counted of a target held here now. */
  boolean importHistory(TargetHistory told, long nowNanos, long nowMillis) {
    TargetSlots target = targets.get(told.target());
    if (target == null || target.holding().targetIncarnation() != told.targetIncarnation()) {
      return false;
    }
    updateAllowances(nowNanos);
    long agoNanos = Math.max(0, nowMillis - told.takenAtMillis()) * 1_000_000;
    int stepsAgo = (int) Math.min(10_000, agoNanos / target.history().stepNanos());
    int regionStepsAgo = (int) Math.min(10_000, agoNanos / target.regionHistory().stepNanos());
    boolean taken = target.importHistory(told, stepsAgo, regionStepsAgo, nowNanos);
    updateAllowances(nowNanos);
    return taken;
  }

  boolean hasTargetOtherThan(String avoid) {
    for (TargetSlots target : targets.values()) {
      if (target.acceptsWork() && !target.holding().target().equals(avoid)) {
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
    int held = 0;
    for (TargetSlots target : targets.values()) {
      held += target.acceptsWork() ? 1 : 0;
    }
    return held;
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

  /** The target with the largest free part of its slots that its cap lets grow. */
  Choice selectTarget(String avoid, long nowNanos) {
    advanceTo(nowNanos);
    boolean gateCapped = gateAllowance <= 0 || gateIntervalCount >= gatePaceLimit;
    boolean capped = false;
    TargetSlots best = null;
    for (TargetSlots target : targets.values()) {
      if (target.freeSlots(nowNanos) == 0 || target.holding().target().equals(avoid)) {
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
   * What this gate may use of the target. Where the zone no longer confirms this entry VM another
   * may have taken over the other half, and with it the other half of the gain.
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
   * Requests by which this gate may grow its window: its share of the region's gain, that of the
   * targets it holds; at least one, or a slow service never starts.
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

  /** Most requests a second that caps and slots allow now. */
  double ceilingPerSecond(long nowNanos) {
    advanceTo(nowNanos);
    double bySlots = usableSlots(nowNanos) * 1000.0 / service.meanServiceMillis();
    int windowLimit = gateGainLimit(nowNanos);
    for (TargetSlots target : targets.values()) {
      windowLimit += target.acceptsWork() ? target.regionHistory().previousWindowCount() : 0;
    }
    return Math.min(bySlots, windowLimit / seconds(service.regionShiftCap().window()));
  }

  /** Requests a second over the last whole window. */
  double admittedPerSecond(long nowNanos) {
    advanceTo(nowNanos);
    int recent = 0;
    for (TargetSlots target : targets.values()) {
      recent += target.regionHistory().windowCount();
    }
    return recent / seconds(service.regionShiftCap().window());
  }

  /** Monotonic time at which a cap or a pause may next give way. */
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

  /** Monotonic time at which the caps let one more request in, if no other takes its place. */
  long nextAdmissionNanos(long nowNanos) {
    advanceTo(nowNanos);
    int units = gateGainLimit(nowNanos);
    int steps = RateHistory.stepsUntilAdmission(totalGrowths(), units);
    long gate = stepClock.nextStepNanos() + (steps - 1) * stepClock.stepNanos();
    long earliestTarget = Long.MAX_VALUE;
    for (TargetSlots target : targets.values()) {
      if (target.acceptsWork()) {
        long freeAt =
            target.isCapped()
                ? target.history().nextAdmissionNanos(targetGainLimit(target))
                : nowNanos;
        earliestTarget = Math.min(earliestTarget, Math.max(freeAt, target.workAllowedFromNanos()));
      }
    }
    return earliestTarget == Long.MAX_VALUE ? gate : Math.max(gate, earliestTarget);
  }

  /** Monotonic time before which no target held here may get work, in the past where one may. */
  long earliestWorkNanos(long nowNanos) {
    long earliest = Long.MAX_VALUE;
    for (TargetSlots target : targets.values()) {
      if (target.acceptsWork()) {
        earliest = Math.min(earliest, target.workAllowedFromNanos());
      }
    }
    return earliest == Long.MAX_VALUE ? nowNanos : earliest;
  }

  private void advanceTo(long nowNanos) {
    boolean newStep = stepClock.advanceTo(nowNanos);
    for (TargetSlots target : targets.values()) {
      newStep |= target.advanceTo(nowNanos);
    }
    if (newStep) {
      updateAllowances(nowNanos);
    }
  }

  private void updateAllowances(long nowNanos) {
    stepClock.advanceTo(nowNanos);
    targets.values().forEach(target -> target.advanceTo(nowNanos));
    formerTargets.forEach(target -> target.advanceTo(nowNanos));
    removeExpired(nowNanos);
    int before = 0;
    int windowAgo = 0;
    gateIntervalCount = 0;
    for (TargetSlots target : targets.values()) {
      before += target.regionHistory().previousWindowCount();
      windowAgo += target.regionHistory().intervalCountOneWindowAgo();
      gateIntervalCount += target.regionHistory().intervalCount();
      target.updateAllowance(targetGainLimit(target));
    }
    gateAllowance = gateGainLimit(nowNanos) - RateHistory.maxGrowth(totalGrowths(), 0);
    gatePaceLimit = RateHistory.paceLimit(before, windowAgo, gateGainLimit(nowNanos));
  }

  /**
   * Growth of all targets together, step by step from now on.
   *
   * <p>A target no longer held counts only where it has grown: whoever holds it now may not know of
   * that growth, and the base that it would bring if it had shrunk went with it.
   */
  private int[] totalGrowths() {
    return totalGrowthsExcept(null);
  }

  private int[] totalGrowthsExcept(@Nullable TargetSlots leftOut) {
    int[] sums = new int[2 * RateHistory.STEPS_PER_WINDOW];
    for (TargetSlots target : targets.values()) {
      if (target != leftOut) {
        addGrowths(target, target.isHeld() ? Integer.MIN_VALUE : 0, sums);
      }
    }
    formerTargets.forEach(target -> addGrowths(target, 0, sums));
    return sums;
  }

  private static void addGrowths(TargetSlots target, int least, int[] sums) {
    int[] own = target.regionHistory().projectedGrowths();
    for (int ahead = 0; ahead < sums.length; ahead++) {
      sums[ahead] += Math.max(least, own[ahead]);
    }
  }

  /**
   * Forgets what no longer counts.
   *
   * <p>A target that moves without having had work is kept until its new gate can be told so, for a
   * window at most; otherwise that gate would wait a window for a history that never comes.
   */
  private void removeExpired(long nowNanos) {
    long toldUntil = nowNanos - takeoverWaitNanos();
    targets
        .values()
        .removeIf(
            target ->
                !target.isHeld()
                    && isExpired(target)
                    && (target.isHistoryExported() || target.releasedNanos() - toldUntil < 0));
    formerTargets.removeIf(TargetPool::isExpired);
  }

  private static boolean isExpired(TargetSlots target) {
    return target.ownInFlight() == 0
        && target.regionHistory().windowCount() == 0
        && target.regionHistory().previousWindowCount() == 0;
  }
}
