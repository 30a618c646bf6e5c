package org.sageladder.entry.gates;

import org.sageladder.core.limits.TargetHistory;
import org.sageladder.core.membership.Member;

/**
 * Sends what this entry VM's gate counted for a target to the entry VM that holds it now.
 *
 * <p>Must not block. A history may be lost, delayed or duplicated. A new holder that receives none
 * waits for one window of the shift cap, which costs headroom but violates no cap.
 */
@FunctionalInterface
public interface HistorySender {
  /**
   * Starts to send {@code history} to {@code holder}.
   *
   * @param viewNumber number of the view that names the holder; distinguishes this move from
   *     earlier ones
   */
  void send(Member holder, long viewNumber, TargetHistory history);

  /** A sender that sends nothing, so that each new holder waits. */
  static HistorySender none() {
    return (holder, viewNumber, history) -> {};
  }
}
