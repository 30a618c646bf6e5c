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
 * @param heartbeatInterval time between two heartbeats in a small zone
 * @param fullSlotsDelay how long a taken-over target's own load must have been watched before its
 *     new holder gets all slots
 * @param maxMovesPerSecond holdings that may move between live members in a second, per zone
 */
public record MembershipSettings(
    Duration heartbeatInterval,
    Duration confirmationWindow,
    Duration takeOverTimeout,
    Duration maxPause,
    Duration fullSlotsDelay,
    double maxMovesPerSecond) {
  private static final Duration HEARTBEAT_INTERVAL_PER_MEMBER = Duration.ofMillis(40);

  /** Checks that no pause a gate may overlook reaches into a take-over. */
  public MembershipSettings {
    if (confirmationWindow.plus(maxPause).compareTo(takeOverTimeout) > 0) {
      throw new IllegalArgumentException(
          "take-over after "
              + takeOverTimeout
              + " is too early: a gate may be unconfirmed for "
              + confirmationWindow
              + " and paused for "
              + maxPause
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

  /**
   * Time between two heartbeats in a zone of {@code members}: longer in a large one, since all of
   * them pass its relay, but twice in a confirm window at least, so that one late answer costs no
   * slots.
   */
  public Duration heartbeatInterval(int memberCount) {
    Duration bySize = HEARTBEAT_INTERVAL_PER_MEMBER.multipliedBy(memberCount);
    Duration longest = confirmationWindow.multipliedBy(2).dividedBy(5);
    if (bySize.compareTo(heartbeatInterval) <= 0) {
      return heartbeatInterval;
    }
    return bySize.compareTo(longest) < 0 ? bySize : longest;
  }
}
