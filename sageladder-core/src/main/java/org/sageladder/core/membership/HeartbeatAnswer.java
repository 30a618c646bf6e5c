package org.sageladder.core.membership;

/**
 * Answer to a heartbeat.
 *
 * @param echoedSentNanos the heartbeat's {@code sentNanos}
 * @param viewNumber latest view of the zone that the answering VM has
 * @param isRelay true if the answering VM is the relay; false if it is not and only reports that it
 *     has no contact with a relay either
 * @param isConfirmed true if the heartbeat was sent under the relay's latest view, so that the
 *     sender may use all slots that the view gives it
 * @param knownIncarnation highest known incarnation of the heartbeat's sender
 */
public record HeartbeatAnswer(
    long echoedSentNanos,
    long viewNumber,
    boolean isRelay,
    boolean isConfirmed,
    long knownIncarnation) {}
