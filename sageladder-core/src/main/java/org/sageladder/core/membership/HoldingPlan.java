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
final class HoldingPlan {
  private static final int ALL_SLOTS = 1 << 20;

  private final MembershipSettings settings;
  private final TimeSource time;
  private final MemberTable members;
  private final TokenBucket moves;
  private final Map<String, Target> targets = new TreeMap<>();
  private Predicate<String> lent = target -> false;

  /** A former holder and the view that told it to stop. */
  private record Former(String vm, long incarnation, long viewNumber) {}

  private static final class Target {
    private ListedVm line;
    private long incarnation;
    private boolean leaving;
    private int absentFetches;
    private String holder = "";
    private long holderIncarnation;
    private int slots;
    private @Nullable Former releasing;
    private @Nullable Former takenFrom;
    private long takenNanos;
    // The zone without entry VMs that the target belongs to; empty for the own zone's.
    private String homeZone = "";
    private boolean givingBack;
    private final List<Former> givingBackBy = new ArrayList<>();

    private Target(ListedVm line) {
      this.line = line;
      this.incarnation = line.incarnation();
    }
  }

  HoldingPlan(MembershipSettings settings, TimeSource time, MemberTable members) {
    this.settings = settings;
    this.time = time;
    this.members = members;
    this.moves =
        TokenBucket.of(time, settings.movesPerSecond(), Math.max(1, settings.movesPerSecond()));
  }

  /** Takes holdings over from another relay's view, with what it withheld and for whom. */
  void seed(RelayedView previous) {
    ZoneView last = previous.view();
    for (Holding holding : last.holdings()) {
      Target target = new Target(line(holding, last.zone()));
      target.leaving = holding.leaving();
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
      Former former = new Former(withheld.holder(), withheld.incarnation(), withheld.viewNumber());
      members.seedSilent(withheld.holder(), withheld.incarnation());
      if (withheld.silent()) {
        target.takenFrom = former;
        target.takenNanos = time.nanos();
      } else {
        target.releasing = former;
      }
    }
  }

  /** What the next relay must know of slots that nobody has. */
  List<RelayedView.Withheld> withheld() {
    List<RelayedView.Withheld> withheld = new ArrayList<>();
    for (Target target : targets.values()) {
      if (target.takenFrom != null) {
        withheld.add(withheld(target, target.takenFrom, true));
      }
      if (target.releasing != null) {
        withheld.add(withheld(target, target.releasing, false));
      }
    }
    return withheld;
  }

  private static RelayedView.Withheld withheld(Target target, Former former, boolean silent) {
    return new RelayedView.Withheld(
        target.line.id(), former.vm(), former.incarnation(), former.viewNumber(), silent);
  }

  /** Sets which of the own zone's targets another zone may be using half of. */
  void lent(Predicate<String> usedElsewhere) {
    lent = usedElsewhere;
  }

  /** Uses half the slots of targets whose zone has no entry VMs left; to be given back later. */
  void takeOver(String homeZone, List<Holding> holdings) {
    for (Holding holding : holdings) {
      Target target =
          targets.computeIfAbsent(holding.target(), id -> new Target(line(holding, homeZone)));
      target.homeZone = homeZone;
      target.givingBack = false;
      noteIncarnation(target, holding.targetIncarnation());
      target.leaving |= holding.leaving() && holding.targetIncarnation() == target.incarnation;
    }
  }

  /** Stops using the targets of {@code homeZone}, whose entry VMs are back. */
  void giveBack(String homeZone) {
    for (Target target : targets.values()) {
      target.givingBack |= target.homeZone.equals(homeZone);
    }
  }

  /** Whether members hold targets of {@code homeZone}, or still have requests in flight there. */
  boolean holdsFor(String homeZone) {
    return targets.values().stream().anyMatch(target -> target.homeZone.equals(homeZone));
  }

  private static ListedVm line(Holding holding, String zone) {
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
        holding.leaving());
  }

  /**
   * Takes in the platform's list, which lags: it adds targets, and removes them on second sight.
   */
  void listed(String zone, List<ListedVm> lines) {
    Set<String> present = new HashSet<>();
    for (ListedVm line : lines) {
      if (line.role() != VmRole.TARGET || !concerns(zone, line)) {
        continue;
      }
      present.add(line.id());
      Target target = targets.computeIfAbsent(line.id(), id -> new Target(line));
      target.line = line;
      noteIncarnation(target, line.incarnation());
      if (line.leaving() && (line.incarnation() == 0 || line.incarnation() == target.incarnation)) {
        target.leaving = true;
      }
    }
    for (Map.Entry<String, Target> entry : targets.entrySet()) {
      Target target = entry.getValue();
      target.absentFetches = present.contains(entry.getKey()) ? 0 : target.absentFetches + 1;
    }
    targets.values().removeIf(target -> target.absentFetches >= 2);
  }

  private boolean concerns(String zone, ListedVm line) {
    Target target = targets.get(line.id());
    boolean takenOver = target != null && line.zone().equals(target.homeZone);
    return takenOver || line.zone().equals(zone);
  }

  /** Takes in what a member saw of targets. */
  void reported(List<TargetReport> reports) {
    for (TargetReport report : reports) {
      Target target = targets.get(report.target());
      if (target == null) {
        continue;
      }
      noteIncarnation(target, report.targetIncarnation());
      boolean sameIncarnation =
          report.targetIncarnation() == 0 || report.targetIncarnation() == target.incarnation;
      if (report.leaving() && sameIncarnation) {
        target.leaving = true;
      }
    }
  }

  /** Holdings for the view {@code number}, ordered by target. */
  List<Holding> holdings(long number, ToIntFunction<String> totalSlots) {
    List<String> eligible = members.eligible();
    List<Holding> holdings = new ArrayList<>();
    targets.values().removeIf(target -> target.givingBack && givenBack(target, number));
    for (Target target : targets.values()) {
      int total = usable(target, totalSlots.applyAsInt(target.line.service()));
      if (target.givingBack) {
        holdings.add(holding(target));
      } else if (total > 0) {
        advance(target, total, number, eligible);
        holdings.add(holding(target));
      }
    }
    return holdings;
  }

  /** Both zones together never use more than all slots, whatever each knows of the other. */
  private int usable(Target target, int total) {
    if (!target.homeZone.isEmpty()) {
      return ConfirmationGuard.takenHalf(total);
    }
    return lent.test(target.line.id()) ? ConfirmationGuard.keptHalf(total) : total;
  }

  /** Whether all who held the target have stopped and have nothing in flight there. */
  private boolean givenBack(Target target, long number) {
    if (!target.holder.isEmpty()) {
      target.givingBackBy.add(new Former(target.holder, target.holderIncarnation, number));
    }
    if (target.releasing != null) {
      target.givingBackBy.add(target.releasing);
    }
    if (target.takenFrom != null) {
      target.givingBackBy.add(target.takenFrom);
    }
    clearHolder(target);
    target.releasing = null;
    target.takenFrom = null;
    target.givingBackBy.removeIf(former -> !silent(former) && stillUsed(target, former) == 0);
    return target.givingBackBy.isEmpty();
  }

  private void advance(Target target, int total, long number, List<String> eligible) {
    Optional<String> desired = Rendezvous.choose(target.line.id(), eligible);
    if (!target.holder.isEmpty()) {
      keepOrLose(target, total, number, desired.orElse(""));
    }
    if (target.holder.isEmpty() && desired.isPresent()) {
      assign(target, total, desired.get());
    }
  }

  private void keepOrLose(Target target, int total, long number, String desired) {
    if (members.isLive(target.holder, target.holderIncarnation)) {
      settle(target, total);
      boolean settled = target.releasing == null && target.takenFrom == null && !target.leaving;
      boolean mayMove = settled && !desired.isEmpty() && !desired.equals(target.holder);
      if (mayMove && moveAllowed(target)) {
        target.releasing = new Former(target.holder, target.holderIncarnation, number);
        clearHolder(target);
      }
      return;
    }
    if (members.surelyEnded(target.holder, target.holderIncarnation)) {
      clearHolder(target);
      return;
    }
    if (target.takenFrom == null) {
      target.takenFrom = new Former(target.holder, target.holderIncarnation, number);
      target.takenNanos = time.nanos();
      clearHolder(target);
      return;
    }
    // Taken over twice: the first silent holder kept one half and this one may use the other.
    target.releasing = new Former(target.holder, target.holderIncarnation, number);
    clearHolder(target);
  }

  private boolean moveAllowed(Target target) {
    boolean holderLeaves = !members.eligible().contains(target.holder);
    return holderLeaves || moves.tryTake(1);
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

  private void settle(Target target, int total) {
    target.slots = freeSlots(target, total);
  }

  /** Slots that nobody but the present or next holder can use. */
  private int freeSlots(Target target, int total) {
    settleTakenFrom(target);
    Former former = target.releasing;
    boolean formerSilent = former != null && silent(former);
    if (formerSilent && target.takenFrom == null) {
      target.takenFrom = former;
      target.takenNanos = time.nanos();
      target.releasing = null;
      former = null;
    }
    int free = target.takenFrom == null ? total : ConfirmationGuard.takenHalf(total);
    if (former == null) {
      return free;
    }
    if (formerSilent) {
      return 0;
    }
    int used = stillUsed(target, former);
    if (used == 0) {
      target.releasing = null;
    }
    return Math.max(0, free - used);
  }

  private boolean silent(Former former) {
    return !members.surelyEnded(former.vm(), former.incarnation())
        && !members.isLive(former.vm(), former.incarnation());
  }

  private void settleTakenFrom(Target target) {
    Former former = target.takenFrom;
    if (former == null) {
      return;
    }
    if (members.surelyEnded(former.vm(), former.incarnation())) {
      target.takenFrom = null;
      return;
    }
    if (members.isLive(former.vm(), former.incarnation()) && acknowledged(former)) {
      handOver(target, former);
      return;
    }
    boolean watched = time.nanos() - target.takenNanos >= settings.fullAfter().toNanos();
    if (watched && reportOf(target.holder, target).map(TargetReport::loadAgrees).orElse(false)) {
      target.takenFrom = null;
    }
  }

  /** The silent one was only paused or cut off, and gives up like any live holder. */
  private void handOver(Target target, Former former) {
    Former other = target.releasing;
    if (other == null) {
      target.releasing = former;
      target.takenFrom = null;
    } else if (silent(other)) {
      target.releasing = former;
      target.takenFrom = other;
      target.takenNanos = time.nanos();
    }
  }

  private boolean acknowledged(Former former) {
    MemberTable.Entry entry = members.entry(former.vm());
    Heartbeat last = entry == null ? null : entry.last();
    return last != null && last.viewNumber() >= former.viewNumber();
  }

  private int stillUsed(Target target, Former former) {
    MemberTable.Entry entry = members.entry(former.vm());
    if (entry == null || members.surelyEnded(former.vm(), former.incarnation())) {
      return 0;
    }
    return usedBy(entry, target, former.viewNumber());
  }

  private int usedBy(MemberTable.Entry entry, Target target, long viewNumber) {
    Heartbeat last = entry.last();
    if (last == null || last.viewNumber() < viewNumber) {
      return ALL_SLOTS;
    }
    return reportOf(entry.member().vm(), target).map(TargetReport::inFlight).orElse(0);
  }

  private Optional<TargetReport> reportOf(String vm, Target target) {
    MemberTable.Entry entry = members.entry(vm);
    Heartbeat last = entry == null ? null : entry.last();
    if (last == null) {
      return Optional.empty();
    }
    return last.reports().stream()
        .filter(report -> report.target().equals(target.line.id()))
        .findFirst();
  }

  private static void noteIncarnation(Target target, long incarnation) {
    if (incarnation > target.incarnation) {
      target.incarnation = incarnation;
      target.leaving = false;
    }
  }

  private static void clearHolder(Target target) {
    target.holder = "";
    target.holderIncarnation = 0;
    target.slots = 0;
  }

  private static Holding holding(Target target) {
    ListedVm line = target.line;
    return new Holding(
        line.id(),
        line.customer(),
        line.service(),
        line.host(),
        line.port(),
        target.incarnation,
        target.holder,
        target.slots,
        target.leaving);
  }
}
