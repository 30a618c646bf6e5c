package org.sageladder.core.steering;

import java.util.List;
import org.sageladder.core.membership.Member;

/**
 * The answer to a look-up: the entry VMs that a caller should use, in order.
 *
 * @param entries entry VMs, best first, at least one; the first holds a gate in the chosen zone
 * @param revision revision of the contract by which it was decided
 * @param ttlMillis how long the caller may keep the answer, in milliseconds
 * @param reason short human-readable text: why the first zone was chosen
 */
public record Route(List<Member> entries, long revision, int ttlMillis, String reason) {
  /** Copies the list, so that the route is immutable. */
  public Route {
    entries = List.copyOf(entries);
  }
}
