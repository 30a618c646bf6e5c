package org.sageladder.core.membership;

/**
 * Load of one service in one zone, for steering in other zones.
 *
 * @param takenAtMillis wall-clock time in the zone when the numbers were taken
 * @param slots slots that may be used
 * @param busy slots in use
 * @param queued requests waiting at gates
 * @param admittedPerSecond recent rate of admitted requests
 * @param ceilingPerSecond highest rate that the zone admits now, by cap and capacity
 * @param demandPerSecond rate of requests for a slot at the zone's gates, admitted or not, from
 *     callers anywhere
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
