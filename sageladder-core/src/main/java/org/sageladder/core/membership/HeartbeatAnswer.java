package org.sageladder.core.membership;

/**
 * The relay's answer to a heartbeat.
 *
 * @param echoedSentNanos the heartbeat's {@code sentNanos}
 * @param viewNumber latest view of the zone that the answering VM knows
 * @param isRelay true from a relay; false from one that only says that it hears no relay either
 * @param isConfirmed true where the heartbeat was sent under the relay's latest view, so that the
 *     sender may use all slots which that view gives it
 * @param knownIncarnation highest incarnation known of the heartbeat's sender
 */
public record HeartbeatAnswer(
    long echoedSentNanos,
    long viewNumber,
    boolean isRelay,
    boolean isConfirmed,
    long knownIncarnation) {}
