package org.sageladder.entry.gates;

import org.sageladder.core.limits.TargetHistory;
import org.sageladder.core.membership.Member;

/**
 * Sends what this entry VM's gate counted of a target to the one that holds it now.
 *
 * <p>Must not block. A history may be lost, late or repeated: the new holder then waits for one
 * window of the shift cap, which costs headroom and breaks no cap.
 */
@FunctionalInterface
public interface HistorySender {
  /**
   * Begins to send {@code history} to {@code holder}.
   *
   * @param viewNumber number of the view that names the holder; tells this move from earlier ones
   */
  void send(Member holder, long viewNumber, TargetHistory history);

  /** Sends nothing, so that each new holder waits. */
  static HistorySender none() {
    return (holder, view, history) -> {};
  }
}
