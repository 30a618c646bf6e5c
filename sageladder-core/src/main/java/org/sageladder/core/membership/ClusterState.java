package org.sageladder.core.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sageladder.core.contract.Contract;

/**
 * The cluster as one process knows it at one moment; the request path reads nothing else.
 *
 * <p>Immutable: the control plane replaces it as a whole.
 *
 * @param contracts contracts in force here, by customer
 * @param views latest view of each zone, by zone
 * @param summaries latest summaries of all zones and services
 */
public record ClusterState(
    Map<String, Contract> contracts, Map<String, ZoneView> views, List<ZoneSummary> summaries) {
  /** Copies the collections, so that the state is immutable. */
  public ClusterState {
    contracts = Map.copyOf(contracts);
    views = Map.copyOf(views);
    summaries = List.copyOf(summaries);
  }

  /** Returns the state of a process that has received nothing yet. */
  public static ClusterState empty() {
    return new ClusterState(Map.of(), Map.of(), List.of());
  }

  /** Returns the member named {@code vm}, whatever its zone. */
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
