package org.sageladder.core.membership;

import java.util.List;

/**
 * A zone view with the data that only the zone's next relay needs.
 *
 * @param relay entry VM that created the view
 * @param withheld slots that the view assigns to no VM, and why
 */
public record RelayedView(ZoneView view, String relay, List<Withheld> withheld) {
  /** Copies the list. */
  public RelayedView {
    withheld = List.copyOf(withheld);
  }

  /**
   * A former holder that may still use slots of a target.
   *
   * <p>Without it, a new relay could not distinguish free slots from slots that a silent member, no
   * longer in the view, is still using.
   *
   * @param formerHolder the former holder
   * @param incarnation incarnation of the former holder
   * @param releaseViewNumber number of the view by which it must stop using the target
   * @param isSilent true if it sends no heartbeats and retains half the slots; false if it is
   *     releasing the target
   */
  public record Withheld(
      String target,
      String formerHolder,
      long incarnation,
      long releaseViewNumber,
      boolean isSilent) {}
}
