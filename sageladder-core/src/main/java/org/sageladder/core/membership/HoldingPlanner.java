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
 * Which member holds which target's slots, so that no two ever hold more than the whole together.
 *
 * <p>A live holder first gives a target up and acknowledges the view that says so; the next holder
 * then gets what the old one's requests in flight leave. A silent holder cannot acknowledge, so the
 * next one gets only the half that the silent one's {@link ConfirmationGuard} has given up, until
 * the silent one has surely ended or the target's own load shows that nobody else sends to it.
 */
final class HoldingPlanner {
  private static final int ALL_SLOTS = 1 << 20;

  private final MembershipSettings settings;
  private final TimeSource time;
  private final MemberTable members;
  private final TokenBucket moveBudget;
  private final Map<String, Target> targets = new TreeMap<>();
  private Predicate<String> usedByOtherZone = target -> false;

  /** A former holder and the view that told it to stop. */
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
    // The zone without entry VMs that the target belongs to; empty for the own zone's.
    private String owningZone = "";
    private boolean isGivingBack;
    private final List<FormerHolder> pendingReleases = new ArrayList<>();

    private Target(ListedVm line) {
      this.listing = line;
      this.incarnation = line.incarnation();
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

  /** Takes holdings over from another relay's view, with what it withheld and for whom. */
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

  /** What the next relay must know of slots that nobody has. */
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

  private static RelayedView.Withheld withheld(Target target, FormerHolder former, boolean silent) {
    return new RelayedView.Withheld(
        target.listing.id(), former.vm(), former.incarnation(), former.releaseViewNumber(), silent);
  }

  /** Sets which of the own zone's targets another zone may be using half of. */
  void setLentTargets(Predicate<String> isLent) {
    usedByOtherZone = isLent;
  }

  /** Uses half the slots of targets whose zone has no entry VMs left; to be given back later. */
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

  /** Stops using the targets of {@code homeZone}, whose entry VMs are back. */
  void giveBack(String owningZone) {
    for (Target target : targets.values()) {
      target.isGivingBack |= target.owningZone.equals(owningZone);
    }
  }

  /** Whether members hold targets of {@code homeZone}, or still have requests in flight there. */
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
   * Takes in the platform's list, which lags: it adds targets, and removes them on second sight.
   */
  void onPlatformList(String zone, List<ListedVm> listings) {
    Set<String> present = new HashSet<>();
    for (ListedVm line : listings) {
      if (line.role() != VmRole.TARGET || !isRelevant(zone, line)) {
        continue;
      }
      present.add(line.id());
      Target target = targets.computeIfAbsent(line.id(), id -> new Target(line));
      target.listing = line;
      updateIncarnation(target, line.incarnation());
      if (line.leaving() && (line.incarnation() == 0 || line.incarnation() == target.incarnation)) {
        target.isDraining = true;
      }
    }
    for (Map.Entry<String, Target> entry : targets.entrySet()) {
      Target target = entry.getValue();
      target.absentFetches = present.contains(entry.getKey()) ? 0 : target.absentFetches + 1;
    }
    targets.values().removeIf(target -> target.absentFetches >= 2);
  }

  private boolean isRelevant(String zone, ListedVm line) {
    Target target = targets.get(line.id());
    boolean takenOver = target != null && line.zone().equals(target.owningZone);
    return takenOver || line.zone().equals(zone);
  }

  /** Takes in what a member saw of targets. */
  void onTargetReports(List<TargetReport> reports) {
    for (TargetReport report : reports) {
      Target target = targets.get(report.target());
      if (target == null) {
        continue;
      }
      updateIncarnation(target, report.targetIncarnation());
      boolean sameIncarnation =
          report.targetIncarnation() == 0 || report.targetIncarnation() == target.incarnation;
      if (report.isDraining() && sameIncarnation) {
        target.isDraining = true;
      }
    }
  }

  /** Holdings for the view {@code number}, ordered by target. */
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

  /** Both zones together never use more than all slots, whatever each knows of the other. */
  private int usableSlots(Target target, int total) {
    if (!target.owningZone.isEmpty()) {
      return ConfirmationGuard.takeOverSlots(total);
    }
    return usedByOtherZone.test(target.listing.id())
        ? ConfirmationGuard.retainedSlots(total)
        : total;
  }

  /** Whether all who held the target have stopped and have nothing in flight there. */
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
      boolean settled =
          target.releasingHolder == null && target.silentHolder == null && !target.isDraining;
      boolean mayMove = settled && !desired.isEmpty() && !desired.equals(target.holder);
      if (mayMove && isMoveAllowed(target)) {
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
    // Taken over twice: the first silent holder kept one half and this one may use the other.
    target.releasingHolder = new FormerHolder(target.holder, target.holderIncarnation, number);
    clearHolder(target);
  }

  private boolean isMoveAllowed(Target target) {
    boolean holderLeaves = !members.eligibleVms().contains(target.holder);
    return holderLeaves || moveBudget.tryTake(1);
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

  /** Slots that nobody but the present or next holder can use. */
  private int freeSlots(Target target, int total) {
    resolveSilentHolder(target);
    FormerHolder former = target.releasingHolder;
    boolean formerSilent = former != null && isSilent(former);
    if (formerSilent && target.silentHolder == null) {
      target.silentHolder = former;
      target.takenOverNanos = time.nanos();
      target.releasingHolder = null;
      former = null;
    }
    int free = target.silentHolder == null ? total : ConfirmationGuard.takeOverSlots(total);
    if (former == null) {
      return free;
    }
    if (formerSilent) {
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
    boolean watched = time.nanos() - target.takenOverNanos >= settings.fullSlotsDelay().toNanos();
    if (watched
        && lastReport(target.holder, target).map(TargetReport::loadMatchesInFlight).orElse(false)) {
      target.silentHolder = null;
    }
  }

  /** The silent one was only paused or cut off, and gives up like any live holder. */
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
    ListedVm line = target.listing;
    return new Holding(
        line.id(),
        line.customer(),
        line.service(),
        line.host(),
        line.port(),
        target.incarnation,
        target.holder,
        target.slots,
        target.isDraining);
  }
}
