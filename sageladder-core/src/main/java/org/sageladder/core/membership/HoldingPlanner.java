package org.sageladder.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmRole;
import org.sageladder.core.spread.TokenBucket;
import org.sageladder.core.time.TimeSource;

/**
 * Assigns each target's slots to members such that all members together never use more slots than
 * the target has.
 *
 * <p>A live holder first releases a target and acknowledges the view that says so. The next holder
 * then gets the slots that are not occupied by the old holder's requests in flight. A silent holder
 * cannot acknowledge. The next holder then gets only the half that the silent one's {@link
 * ConfirmationGuard} no longer uses, until the silent one is known to have ended or the target's
 * own load shows that no other VM sends to it.
 */
final class HoldingPlanner {
  private static final int ALL_SLOTS = 1 << 20;

  private final MembershipSettings settings;
  private final TimeSource time;
  private final MemberTable members;
  private final TokenBucket moveBudget;
  private final Map<String, Target> targets = new TreeMap<>();
  private Predicate<String> usedByOtherZone = target -> false;

  /** A former holder and the number of the view by which it must stop using the target. */
  private record FormerHolder(String vm, long incarnation, long releaseViewNumber) {}

  private static final class Target {
    private ListedVm listing;
    private long incarnation;
    private boolean isDraining;
    private int absentFetches;
    private String holder = "";
    private long holderIncarnation;
    private int slots;
    private @Nullable FormerHolder releasingHolder;
    private @Nullable FormerHolder silentHolder;
    private long takenOverNanos;
    // The zone without entry VMs that the target belongs to; empty for a target of this zone.
    private String owningZone = "";
    private boolean isGivingBack;
    private final List<FormerHolder> pendingReleases = new ArrayList<>();

    private Target(ListedVm listing) {
      this.listing = listing;
      this.incarnation = listing.incarnation();
    }
  }

  HoldingPlanner(MembershipSettings settings, TimeSource time, MemberTable members) {
    this.settings = settings;
    this.time = time;
    this.members = members;
    this.moveBudget =
        TokenBucket.of(
            time, settings.maxMovesPerSecond(), Math.max(1, settings.maxMovesPerSecond()));
  }

  /** Restores the holdings of another relay's view and the slots that it withheld. */
  void restore(RelayedView previous) {
    ZoneView last = previous.view();
    for (Holding holding : last.holdings()) {
      Target target = new Target(toListing(holding, last.zone()));
      target.isDraining = holding.isDraining();
      target.holder = holding.holder();
      target.slots = holding.slots();
      target.holderIncarnation =
          last.members().stream()
              .filter(member -> member.vm().equals(holding.holder()))
              .mapToLong(Member::incarnation)
              .findFirst()
              .orElse(0);
      targets.put(holding.target(), target);
    }
    for (RelayedView.Withheld withheld : previous.withheld()) {
      Target target = targets.get(withheld.target());
      if (target == null) {
        continue;
      }
      FormerHolder former =
          new FormerHolder(
              withheld.formerHolder(), withheld.incarnation(), withheld.releaseViewNumber());
      members.restoreSilent(withheld.formerHolder(), withheld.incarnation());
      if (withheld.isSilent()) {
        target.silentHolder = former;
        target.takenOverNanos = time.nanos();
      } else {
        target.releasingHolder = former;
      }
    }
  }

  /** The withheld slots, which the next relay must know about. */
  List<RelayedView.Withheld> withheld() {
    List<RelayedView.Withheld> withheld = new ArrayList<>();
    for (Target target : targets.values()) {
      if (target.silentHolder != null) {
        withheld.add(withheld(target, target.silentHolder, true));
      }
      if (target.releasingHolder != null) {
        withheld.add(withheld(target, target.releasingHolder, false));
      }
    }
    return withheld;
  }

  private static RelayedView.Withheld withheld(
      Target target, FormerHolder former, boolean isSilent) {
    return new RelayedView.Withheld(
        target.listing.id(),
        former.vm(),
        former.incarnation(),
        former.releaseViewNumber(),
        isSilent);
  }

  /** Sets which targets of this zone may be in use by another zone, with half their slots. */
  void setLentTargets(Predicate<String> isLent) {
    usedByOtherZone = isLent;
  }

  /** Uses half the slots of targets whose zone has no entry VMs left, until they are given back. */
  void takeOver(String owningZone, List<Holding> holdings) {
    for (Holding holding : holdings) {
      Target target =
          targets.computeIfAbsent(
              holding.target(), id -> new Target(toListing(holding, owningZone)));
      target.owningZone = owningZone;
      target.isGivingBack = false;
      updateIncarnation(target, holding.targetIncarnation());
      target.isDraining |=
          holding.isDraining() && holding.targetIncarnation() == target.incarnation;
    }
  }

  /** Stops using the targets of {@code owningZone}, whose entry VMs are back. */
  void giveBack(String owningZone) {
    for (Target target : targets.values()) {
      target.isGivingBack |= target.owningZone.equals(owningZone);
    }
  }

  /**
   * Whether members hold targets of {@code owningZone} or still have requests in flight to them.
   */
  boolean holdsTargetsOf(String owningZone) {
    return targets.values().stream().anyMatch(target -> target.owningZone.equals(owningZone));
  }

  private static ListedVm toListing(Holding holding, String zone) {
    return new ListedVm(
        VmRole.TARGET,
        holding.target(),
        holding.customer(),
        holding.service(),
        zone,
        holding.host(),
        holding.port(),
        0,
        holding.targetIncarnation(),
        holding.isDraining());
  }

  /**
   * Applies the platform's list, which lags: a target is added when first listed, and removed when
   * missing from two consecutive lists.
   */
  void onPlatformList(String zone, List<ListedVm> listings) {
    Set<String> present = new HashSet<>();
    for (ListedVm listing : listings) {
      if (listing.role() != VmRole.TARGET || !isRelevant(zone, listing)) {
        continue;
      }
      present.add(listing.id());
      Target target = targets.computeIfAbsent(listing.id(), id -> new Target(listing));
      target.listing = listing;
      updateIncarnation(target, listing.incarnation());
      if (listing.leaving()
          && (listing.incarnation() == 0 || listing.incarnation() == target.incarnation)) {
        target.isDraining = true;
      }
    }
    for (Map.Entry<String, Target> entry : targets.entrySet()) {
      Target target = entry.getValue();
      target.absentFetches = present.contains(entry.getKey()) ? 0 : target.absentFetches + 1;
    }
    targets.values().removeIf(target -> target.absentFetches >= 2);
  }

  private boolean isRelevant(String zone, ListedVm listing) {
    Target target = targets.get(listing.id());
    boolean isTakenOver = target != null && listing.zone().equals(target.owningZone);
    return isTakenOver || listing.zone().equals(zone);
  }

  /** Applies a member's reports on targets. */
  void onTargetReports(List<TargetReport> reports) {
    for (TargetReport report : reports) {
      Target target = targets.get(report.target());
      if (target == null) {
        continue;
      }
      updateIncarnation(target, report.targetIncarnation());
      boolean isSameIncarnation =
          report.targetIncarnation() == 0 || report.targetIncarnation() == target.incarnation;
      if (report.isDraining() && isSameIncarnation) {
        target.isDraining = true;
      }
    }
  }

  /** Returns the holdings for the view {@code number}, ordered by target. */
  List<Holding> holdings(long number, ToIntFunction<String> totalSlots) {
    List<String> eligible = members.eligibleVms();
    List<Holding> holdings = new ArrayList<>();
    targets.values().removeIf(target -> target.isGivingBack && isGivenBack(target, number));
    for (Target target : targets.values()) {
      int total = usableSlots(target, totalSlots.applyAsInt(target.listing.service()));
      if (target.isGivingBack) {
        holdings.add(toHolding(target));
      } else if (total > 0) {
        updateHolder(target, total, number, eligible);
        holdings.add(toHolding(target));
      }
    }
    return holdings;
  }

  /**
   * Slots of a target available to this zone. Two zones that use the same target never use more
   * than all its slots together, whatever each knows of the other.
   */
  private int usableSlots(Target target, int total) {
    if (!target.owningZone.isEmpty()) {
      return ConfirmationGuard.takeOverSlots(total);
    }
    return usedByOtherZone.test(target.listing.id())
        ? ConfirmationGuard.retainedSlots(total)
        : total;
  }

  /**
   * Whether all former holders have stopped using the target and have no requests in flight to it.
   */
  private boolean isGivenBack(Target target, long number) {
    if (!target.holder.isEmpty()) {
      target.pendingReleases.add(new FormerHolder(target.holder, target.holderIncarnation, number));
    }
    if (target.releasingHolder != null) {
      target.pendingReleases.add(target.releasingHolder);
    }
    if (target.silentHolder != null) {
      target.pendingReleases.add(target.silentHolder);
    }
    clearHolder(target);
    target.releasingHolder = null;
    target.silentHolder = null;
    target.pendingReleases.removeIf(
        former -> !isSilent(former) && slotsInUseBy(target, former) == 0);
    return target.pendingReleases.isEmpty();
  }

  private void updateHolder(Target target, int total, long number, List<String> eligible) {
    Optional<String> desired = Rendezvous.choose(target.listing.id(), eligible);
    if (!target.holder.isEmpty()) {
      keepOrRelease(target, total, number, desired.orElse(""));
    }
    if (target.holder.isEmpty() && desired.isPresent()) {
      assign(target, total, desired.get());
    }
  }

  private void keepOrRelease(Target target, int total, long number, String desired) {
    if (members.isLive(target.holder, target.holderIncarnation)) {
      updateSlots(target, total);
      boolean isSettled =
          target.releasingHolder == null && target.silentHolder == null && !target.isDraining;
      boolean shouldMove = isSettled && !desired.isEmpty() && !desired.equals(target.holder);
      if (shouldMove && isMoveAllowed(target)) {
        target.releasingHolder = new FormerHolder(target.holder, target.holderIncarnation, number);
        clearHolder(target);
      }
      return;
    }
    if (members.isKnownEnded(target.holder, target.holderIncarnation)) {
      clearHolder(target);
      return;
    }
    if (target.silentHolder == null) {
      target.silentHolder = new FormerHolder(target.holder, target.holderIncarnation, number);
      target.takenOverNanos = time.nanos();
      clearHolder(target);
      return;
    }
    // The target was taken over before. The first silent holder retains one half and this holder
    // may use the other, so no slots are free.
    target.releasingHolder = new FormerHolder(target.holder, target.holderIncarnation, number);
    clearHolder(target);
  }

  private boolean isMoveAllowed(Target target) {
    boolean isHolderDraining = !members.eligibleVms().contains(target.holder);
    return isHolderDraining || moveBudget.tryTake(1);
  }

  private void assign(Target target, int total, String desired) {
    int free = freeSlots(target, total);
    MemberTable.Entry entry = members.entry(desired);
    if (free <= 0 || entry == null) {
      return;
    }
    target.holder = desired;
    target.holderIncarnation = entry.member().incarnation();
    target.slots = free;
  }

  private void updateSlots(Target target, int total) {
    target.slots = freeSlots(target, total);
  }

  /** Slots that no VM other than the present or next holder can use. */
  private int freeSlots(Target target, int total) {
    resolveSilentHolder(target);
    FormerHolder former = target.releasingHolder;
    boolean isFormerSilent = former != null && isSilent(former);
    if (isFormerSilent && target.silentHolder == null) {
      target.silentHolder = former;
      target.takenOverNanos = time.nanos();
      target.releasingHolder = null;
      former = null;
    }
    int free = target.silentHolder == null ? total : ConfirmationGuard.takeOverSlots(total);
    if (former == null) {
      return free;
    }
    if (isFormerSilent) {
      return 0;
    }
    int used = slotsInUseBy(target, former);
    if (used == 0) {
      target.releasingHolder = null;
    }
    return Math.max(0, free - used);
  }

  private boolean isSilent(FormerHolder former) {
    return !members.isKnownEnded(former.vm(), former.incarnation())
        && !members.isLive(former.vm(), former.incarnation());
  }

  private void resolveSilentHolder(Target target) {
    FormerHolder former = target.silentHolder;
    if (former == null) {
      return;
    }
    if (members.isKnownEnded(former.vm(), former.incarnation())) {
      target.silentHolder = null;
      return;
    }
    if (members.isLive(former.vm(), former.incarnation()) && hasAcknowledged(former)) {
      startRelease(target, former);
      return;
    }
    boolean isObservedLongEnough =
        time.nanos() - target.takenOverNanos >= settings.fullSlotsDelay().toNanos();
    if (isObservedLongEnough
        && lastReport(target.holder, target).map(TargetReport::loadMatchesInFlight).orElse(false)) {
      target.silentHolder = null;
    }
  }

  /** Lets a holder that was only paused or cut off release the target like any live holder. */
  private void startRelease(Target target, FormerHolder former) {
    FormerHolder other = target.releasingHolder;
    if (other == null) {
      target.releasingHolder = former;
      target.silentHolder = null;
    } else if (isSilent(other)) {
      target.releasingHolder = former;
      target.silentHolder = other;
      target.takenOverNanos = time.nanos();
    }
  }

  private boolean hasAcknowledged(FormerHolder former) {
    MemberTable.Entry entry = members.entry(former.vm());
    Heartbeat last = entry == null ? null : entry.lastHeartbeat();
    return last != null && last.viewNumber() >= former.releaseViewNumber();
  }

  private int slotsInUseBy(Target target, FormerHolder former) {
    MemberTable.Entry entry = members.entry(former.vm());
    if (entry == null || members.isKnownEnded(former.vm(), former.incarnation())) {
      return 0;
    }
    return inFlightSince(entry, target, former.releaseViewNumber());
  }

  private int inFlightSince(MemberTable.Entry entry, Target target, long viewNumber) {
    Heartbeat last = entry.lastHeartbeat();
    if (last == null || last.viewNumber() < viewNumber) {
      return ALL_SLOTS;
    }
    return lastReport(entry.member().vm(), target).map(TargetReport::inFlight).orElse(0);
  }

  private Optional<TargetReport> lastReport(String vm, Target target) {
    MemberTable.Entry entry = members.entry(vm);
    Heartbeat last = entry == null ? null : entry.lastHeartbeat();
    if (last == null) {
      return Optional.empty();
    }
    return last.targetReports().stream()
        .filter(report -> report.target().equals(target.listing.id()))
        .findFirst();
  }

  private static void updateIncarnation(Target target, long incarnation) {
    if (incarnation > target.incarnation) {
      target.incarnation = incarnation;
      target.isDraining = false;
    }
  }

  private static void clearHolder(Target target) {
    target.holder = "";
    target.holderIncarnation = 0;
    target.slots = 0;
  }

  private static Holding toHolding(Target target) {
    ListedVm listing = target.listing;
    return new Holding(
        listing.id(),
        listing.customer(),
        listing.service(),
        listing.host(),
        listing.port(),
        target.incarnation,
        target.holder,
        target.slots,
        target.isDraining);
  }
}
