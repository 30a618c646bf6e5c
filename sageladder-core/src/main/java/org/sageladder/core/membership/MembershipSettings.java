package org.sageladder.core.membership;

import java.time.Duration;

/**
 * Timeouts and intervals of membership within a zone. They depend on each other.
 *
 * <p>A gate that is not confirmed for {@code confirmationWindow} reduces a holding to half its
 * slots. A relay reassigns a silent member's targets only after {@code takeOverTimeout}, and then
 * only the other half of the slots. The difference between the two must be at least {@code
 * maxPause}, the longest pause that a gate may miss between its check and its dispatch.
 *
 * @param heartbeatInterval time between two heartbeats in a small zone
 * @param fullSlotsDelay how long a taken-over target's own load must be observed before its new
 *     holder gets all slots
 * @param maxMovesPerSecond holdings per zone that may move between live members per second
 */
public record MembershipSettings(
    Duration heartbeatInterval,
    Duration confirmationWindow,
    Duration takeOverTimeout,
    Duration maxPause,
    Duration fullSlotsDelay,
    double maxMovesPerSecond) {
  private static final Duration HEARTBEAT_INTERVAL_PER_MEMBER = Duration.ofMillis(40);

  /** Checks that a pause missed by a gate cannot last into a take-over. */
  public MembershipSettings {
    if (confirmationWindow.plus(maxPause).compareTo(takeOverTimeout) > 0) {
      throw new IllegalArgumentException(
          "takeOverTimeout "
              + takeOverTimeout
              + " is too short: a gate may be unconfirmed for "
              + confirmationWindow
              + " and miss a pause of "
              + maxPause
              + "; use at least their sum");
    }
  }

  /**
   * Default settings. A silent member's targets move after 4 s, so the zone loses the use of its
   * slots for about that long.
   */
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
   * Time between two heartbeats in a zone of {@code memberCount} members. It grows with the zone,
   * because the relay receives all of them, but at least two heartbeats fit into a confirmation
   * window, so that one late answer costs no slots.
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
