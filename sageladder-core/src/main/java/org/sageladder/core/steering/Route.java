package org.sageladder.core.steering;

import java.util.List;
import org.sageladder.core.membership.Member;

/**
 * The answer to a look-up: which entry VMs a caller should use, in order.
 *
 * @param entries entry VMs, best first, at least one; the first holds a gate in the chosen zone
 * @param revision revision of the contract that decided
 * @param ttlMillis how long the caller may keep the answer, milliseconds
 * @param reason short text for people: why the first zone was chosen
 */
public record Route(List<Member> entries, long revision, int ttlMillis, String reason) {
  /** Copies the list, so that the route cannot change. */
  public Route {
    entries = List.copyOf(entries);
  }
}
