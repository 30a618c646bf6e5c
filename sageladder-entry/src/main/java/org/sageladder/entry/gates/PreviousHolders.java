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
 * Tracks which entry VM held each target of the zone in earlier views, to distinguish the targets
 * that this entry VM takes over from those that had no holder before.
 *
 * <p>Otherwise the load of a target could grow by the gain of its shift cap twice: once at the
 * previous gate and once at the new gate, which starts counting from zero. A target counts as taken
 * over if an earlier view assigned it to another entry VM or to an earlier incarnation of this one,
 * or took it from this one in between: another entry VM may have held it in a view that this one
 * has missed.
 *
 * <p>Not thread-safe.
 */
final class PreviousHolders {
  private final String vm;
  private final long ownIncarnation;
  private final Map<String, Holder> lastHolders = new HashMap<>();
  private final Map<String, Long> lastViewsNotHeldHere = new HashMap<>();
  private long highestViewNumber = Long.MIN_VALUE;

  /**
   * @param hasGap whether a later view named no holder or another one
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

  /**
   * Applies a view and returns the targets held here that another entry VM may have held until now.
   */
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
    Set<String> targets = new HashSet<>();
    view.holdings().forEach(holding -> targets.add(holding.target()));
    lastHolders.keySet().retainAll(targets);
    lastViewsNotHeldHere.keySet().retainAll(targets);
    return takenOver;
  }

  /** Number of the last view that assigned the target to no holder or to another one, or 0. */
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
    Holder current =
        new Holder(
            holding.targetIncarnation(),
            holding.holder(),
            incarnation,
            !isFirstHolder || isEarlierIncarnation,
            false);
    if (isFirstHolder || previous.hasGap || !previous.isSame(current)) {
      lastHolders.put(holding.target(), current);
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
