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
final class FormerHolders {
  private final String vm;
  private final long ownIncarnation;
  private final Map<String, Holder> last = new HashMap<>();
  private final Map<String, Long> lastElsewhere = new HashMap<>();
  private long seenView = Long.MIN_VALUE;

  /**
   * @param gap true once a later view named no holder or another
   */
  private record Holder(
      long targetIncarnation, String vm, long incarnation, boolean takenOver, boolean gap) {
    boolean isSame(Holder other) {
      return targetIncarnation == other.targetIncarnation
          && vm.equals(other.vm)
          && incarnation == other.incarnation;
    }

    Holder withGap() {
      return new Holder(targetIncarnation, vm, incarnation, takenOver, true);
    }
  }

  FormerHolders(String vm, long incarnation) {
    this.vm = vm;
    this.ownIncarnation = incarnation;
  }

  /** Takes in a view and names the targets held here that another may have held until now. */
  Set<String> follow(ZoneView view) {
    boolean isNew = view.number() > seenView;
    seenView = Math.max(seenView, view.number());
    Set<String> takenOver = new HashSet<>();
    for (Holding holding : view.holdings()) {
      if (isNew) {
        note(holding, view);
      }
      Holder holder = last.get(holding.target());
      if (holder != null && holder.takenOver && holder.vm.equals(vm) && !holder.gap) {
        takenOver.add(holding.target());
      }
    }
    Set<String> named = new HashSet<>();
    view.holdings().forEach(holding -> named.add(holding.target()));
    last.keySet().retainAll(named);
    lastElsewhere.keySet().retainAll(named);
    return takenOver;
  }

  /** Number of the last view that gave the target to nobody or to another, or 0. */
  long lastElsewhere(String target) {
    return lastElsewhere.getOrDefault(target, 0L);
  }

  private void note(Holding holding, ZoneView view) {
    if (!holding.holder().equals(vm)) {
      lastElsewhere.put(holding.target(), view.number());
    }
    Holder before = last.get(holding.target());
    if (holding.holder().isEmpty()) {
      if (before != null) {
        last.put(holding.target(), before.withGap());
      }
      return;
    }
    long incarnation = incarnation(holding.holder(), view);
    boolean fresh = before == null || before.targetIncarnation != holding.targetIncarnation();
    boolean earlierSelf = holding.holder().equals(vm) && incarnation != ownIncarnation;
    Holder now =
        new Holder(
            holding.targetIncarnation(),
            holding.holder(),
            incarnation,
            !fresh || earlierSelf,
            false);
    if (fresh || before.gap || !before.isSame(now)) {
      last.put(holding.target(), now);
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
