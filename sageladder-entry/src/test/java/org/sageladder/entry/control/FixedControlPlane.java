package org.sageladder.entry.control;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.membership.ZoneView;

/** A control plane with a fixed state: one zone with the given members, and no contract. */
public record FixedControlPlane(List<Member> members) implements ControlPlane {
  @Override
  public ClusterState state() {
    ZoneView view = new ZoneView("riga-1", 1, members, List.of());
    return new ClusterState(Map.of(), Map.of("riga-1", view), List.of());
  }

  @Override
  public void onChange(Consumer<ClusterState> listener) {}

  @Override
  public void setSummarySource(Supplier<List<ZoneSummary>> source) {}

  @Override
  public void beginLeaving() {}

  @Override
  public Readiness readiness() {
    return Readiness.LEAVING;
  }

  @Override
  public void close() {}
}
