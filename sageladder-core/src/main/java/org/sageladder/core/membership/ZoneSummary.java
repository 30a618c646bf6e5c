package org.sageladder.core.membership;

/**
 * What one zone reports of one service, for steering elsewhere.
 *
 * @param takenAtMillis wall clock of the zone when the numbers were taken
 * @param slots slots that may be used
 * @param busy slots in use
 * @param queued requests waiting at gates
 * @param admittedPerSecond requests admitted a second of late
 * @param ceilingPerSecond most the zone will admit a second now, by cap and capacity
 * @param demandPerSecond requests a second that asked for a slot at the zone's gates, admitted or
 *     not, wherever their callers are
 */
public record ZoneSummary(
    String zone,
    String customer,
    String service,
    long takenAtMillis,
    int slots,
    int busy,
    int queued,
    double admittedPerSecond,
    double ceilingPerSecond,
    double demandPerSecond) {}
