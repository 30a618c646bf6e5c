package org.sageladder.core.membership;

import java.util.List;

/**
 * A zone view with what only the zone's next relay needs.
 *
 * @param relay entry VM that made the view
 * @param withheld slots that the view gives to nobody, and why
 */
public record RelayedView(ZoneView view, String relay, List<Withheld> withheld) {
  /** Copies the list. */
  public RelayedView {
    withheld = List.copyOf(withheld);
  }

  /**
   * A former holder that may still use slots of a target.
   *
   * <p>Without it a new relay could not tell slots that are free from slots that a silent member,
   * no longer in the view, goes on using.
   *
   * @param formerHolder the former holder
   * @param incarnation the former holder's
   * @param releaseViewNumber view that told it to stop
   * @param isSilent true where it was not heard and keeps half; false where it hands over
   */
  public record Withheld(
      String target,
      String formerHolder,
      long incarnation,
      long releaseViewNumber,
      boolean isSilent) {}
}
