package org.sageladder.entry.control;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneView;

/**
 * Records the changes in each new view of this entry VM's zone as events: members that joined or
 * left, and targets that this VM now holds, no longer holds or that are draining.
 *
 * <pre>{@code
 * control.onChange(ViewEventRecorder.of("tallinn-1-a", "tallinn-1", "kannelkoda", events));
 * }</pre>
 *
 * <p>Called by one thread.
 */
public final class ViewEventRecorder implements Consumer<ClusterState> {
  private final String vm;
  private final String zone;
  private final String customer;
  private final EventSink events;
  private Set<String> members = Set.of();
  private Set<String> targets = Set.of();
  private Set<String> drainingTargets = Set.of();

  private ViewEventRecorder(String vm, String zone, String customer, EventSink events) {
    this.vm = vm;
    this.zone = zone;
    this.customer = customer;
    this.events = events;
  }

  /** Creates a recorder for the entry VM {@code vm} that has seen no view yet. */
  public static ViewEventRecorder of(String vm, String zone, String customer, EventSink events) {
    return new ViewEventRecorder(vm, zone, customer, events);
  }

  @Override
  public void accept(ClusterState state) {
    ZoneView view = state.views().get(zone);
    if (view == null) {
      return;
    }
    Set<String> newMembers = view.members().stream().map(Member::vm).collect(Collectors.toSet());
    record(EventKind.MEMBER_JOINED, newMembers, members, view.number());
    record(EventKind.MEMBER_LEFT, members, newMembers, view.number());
    members = newMembers;
    Set<String> newTargets = new HashSet<>();
    Set<String> newDraining = new HashSet<>();
    for (Holding holding : view.holdings()) {
      if (holding.holder().equals(vm)) {
        (holding.isDraining() ? newDraining : newTargets).add(holding.target());
      }
    }
    record(EventKind.TARGET_HELD, newTargets, targets, view.number());
    record(EventKind.TARGET_LEAVING, newDraining, drainingTargets, view.number());
    newTargets.addAll(newDraining);
    Set<String> previousTargets = new HashSet<>(targets);
    previousTargets.addAll(drainingTargets);
    record(EventKind.TARGET_GIVEN_UP, previousTargets, newTargets, view.number());
    newTargets.removeAll(newDraining);
    targets = newTargets;
    drainingTargets = newDraining;
  }

  /** Records one event for each name that is in {@code names} but not in {@code excluded}. */
  private void record(EventKind kind, Set<String> names, Set<String> excluded, long viewNumber) {
    names.stream()
        .filter(name -> !excluded.contains(name))
        .sorted()
        .forEach(name -> events.record(kind, "", customer, name, viewNumber, "by the zone's view"));
  }
}
