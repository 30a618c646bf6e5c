package org.sageladder.core.membership;

import java.util.List;

/**
 * The members of a zone and the holders of its targets' slots, as determined by the zone's relay.
 *
 * <p>Views of one zone are ordered by {@code number}; a process never returns to a lower one.
 *
 * @param number composed of the fencing token of the relay's lease and a counter, so that it
 *     increases across relays
 */
public record ZoneView(String zone, long number, List<Member> members, List<Holding> holdings) {
  /** Copies the lists, so that the view is immutable. */
  public ZoneView {
    members = List.copyOf(members);
    holdings = List.copyOf(holdings);
  }
}
