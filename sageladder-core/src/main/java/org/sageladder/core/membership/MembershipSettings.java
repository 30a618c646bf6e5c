package org.sageladder.core.membership;

import java.time.Duration;

/**
 * Times of membership inside a zone; they only work together.
 *
 * <p>A gate that is not confirmed for {@code confirmWindow} gives up half its slots. A relay takes
 * a silent member's targets over only after {@code takeOverSilence}, and then with the other half.
 * The difference of the two must exceed {@code pauseAllowance}, the longest pause that a gate may
 * overlook between its check and its dispatch.
 *
 * @param heartbeat time between two heartbeats
 * @param fullAfter how long a taken-over target's own load must have been watched before its new
 *     holder gets all slots
 * @param movesPerSecond holdings that may move between live members in a second, per zone
 */
public record MembershipSettings(
    Duration heartbeat,
    Duration confirmWindow,
    Duration takeOverSilence,
    Duration pauseAllowance,
    Duration fullAfter,
    double movesPerSecond) {

  /** Checks that no pause a gate may overlook reaches into a take-over. */
  public MembershipSettings {
    if (confirmWindow.plus(pauseAllowance).compareTo(takeOverSilence) > 0) {
      throw new IllegalArgumentException(
          "take-over after "
              + takeOverSilence
              + " is too early: a gate may be unconfirmed for "
              + confirmWindow
              + " and paused for "
              + pauseAllowance
              + "; use at least their sum");
    }
  }

  /** A silent member's targets move after 4 s, so a member is lost to the zone for about that. */
  public static MembershipSettings standard() {
    return new MembershipSettings(
        Duration.ofMillis(500),
        Duration.ofMillis(2_500),
        Duration.ofMillis(4_000),
        Duration.ofMillis(1_000),
        Duration.ofSeconds(10),
        4);
  }
}
