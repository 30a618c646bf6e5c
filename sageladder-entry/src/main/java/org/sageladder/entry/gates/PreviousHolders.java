package org.sageladder.entry.gates;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneView;

/**
 * Remembers who held each target of the zone, view by view, to tell the targets that this entry VM
 * takes over from those that nobody held before.
 *
 * <p>Guards against a target that grows by its shift cap's gain twice: once at the gate that had
 * it, once at the gate that has it now and counts from nothing. A target counts as taken over where
 * an earlier view gave it to another entry VM, to an earlier incarnation of this one, or took it
 * from this one in between: another may have held it in a view that was never seen here.
 *
 * <p>Not safe for use by several threads.
 */
final class PreviousHolders {
  private final String vm;
  private final long ownIncarnation;
  private final Map<String, Holder> lastHolders = new HashMap<>();
  private final Map<String, Long> lastViewsNotHeldHere = new HashMap<>();
  private long highestViewNumber = Long.MIN_VALUE;

  /**
   * @param hasGap true once a later view named no holder or another
   */
  private record Holder(
      long targetIncarnation, String vm, long incarnation, boolean isTakenOver, boolean hasGap) {
    boolean isSame(Holder other) {
      return targetIncarnation == other.targetIncarnation
          && vm.equals(other.vm)
          && incarnation == other.incarnation;
    }

    Holder withGap() {
      return new Holder(targetIncarnation, vm, incarnation, isTakenOver, true);
    }
  }

  PreviousHolders(String vm, long incarnation) {
    this.vm = vm;
    this.ownIncarnation = incarnation;
  }

  /** Takes in a view and names the targets held here that another may have held until now. */
  Set<String> applyView(ZoneView view) {
    boolean isNew = view.number() > highestViewNumber;
    highestViewNumber = Math.max(highestViewNumber, view.number());
    Set<String> takenOver = new HashSet<>();
    for (Holding holding : view.holdings()) {
      if (isNew) {
        recordHolder(holding, view);
      }
      Holder holder = lastHolders.get(holding.target());
      if (holder != null && holder.isTakenOver && holder.vm.equals(vm) && !holder.hasGap) {
        takenOver.add(holding.target());
      }
    }
    Set<String> named = new HashSet<>();
    view.holdings().forEach(holding -> named.add(holding.target()));
    lastHolders.keySet().retainAll(named);
    lastViewsNotHeldHere.keySet().retainAll(named);
    return takenOver;
  }

  /** Number of the last view that gave the target to nobody or to another, or 0. */
  long lastViewNotHeldHere(String target) {
    return lastViewsNotHeldHere.getOrDefault(target, 0L);
  }

  private void recordHolder(Holding holding, ZoneView view) {
    if (!holding.holder().equals(vm)) {
      lastViewsNotHeldHere.put(holding.target(), view.number());
    }
    Holder previous = lastHolders.get(holding.target());
    if (holding.holder().isEmpty()) {
      if (previous != null) {
        lastHolders.put(holding.target(), previous.withGap());
      }
      return;
    }
    long incarnation = incarnation(holding.holder(), view);
    boolean isFirstHolder =
        previous == null || previous.targetIncarnation != holding.targetIncarnation();
    boolean isEarlierIncarnation = holding.holder().equals(vm) && incarnation != ownIncarnation;
    Holder now =
        new Holder(
            holding.targetIncarnation(),
            holding.holder(),
            incarnation,
            !isFirstHolder || isEarlierIncarnation,
            false);
    if (isFirstHolder || previous.hasGap || !previous.isSame(now)) {
      lastHolders.put(holding.target(), now);
    }
  }

  private static long incarnation(String holder, ZoneView view) {
    return view.members().stream()
        .filter(member -> Objects.equals(member.vm(), holder))
        .mapToLong(Member::incarnation)
        .findFirst()
        .orElse(0);
  }
}
