package org.sageladder.core.membership;

import java.util.List;

/**
 * Who is in a zone and who holds which target's slots, as made by the zone's relay.
 *
 * <p>Views of one zone are ordered by {@code number}; a process never goes back to a lower one.
 *
 * @param number made of the relay lease's fencing revision and a counter, so it grows over relays
 */
public record ZoneView(String zone, long number, List<Member> members, List<Holding> holdings) {
  /** Copies the lists, so that the view cannot change. */
  public ZoneView {
    members = List.copyOf(members);
    holdings = List.copyOf(holdings);
  }
}
