package org.sageladder.core.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sageladder.core.contract.Contract;

/**
 * Everything one process knows of the others at one moment; the request path reads nothing else.
 *
 * <p>Immutable: the control plane replaces it whole.
 *
 * @param contracts contracts in force here, by customer
 * @param views latest view of each zone, by zone
 * @param summaries latest summaries of all zones and services
 */
public record ClusterState(
    Map<String, Contract> contracts, Map<String, ZoneView> views, List<ZoneSummary> summaries) {
  /** Copies the collections, so that the state cannot change. */
  public ClusterState {
    contracts = Map.copyOf(contracts);
    views = Map.copyOf(views);
    summaries = List.copyOf(summaries);
  }

  /** The state of a process that has heard nothing yet. */
  public static ClusterState empty() {
    return new ClusterState(Map.of(), Map.of(), List.of());
  }

  /** The member named {@code vm} in any zone. */
  public Optional<Member> member(String vm) {
    for (ZoneView view : views.values()) {
      for (Member member : view.members()) {
        if (member.vm().equals(vm)) {
          return Optional.of(member);
        }
      }
    }
    return Optional.empty();
  }
}
