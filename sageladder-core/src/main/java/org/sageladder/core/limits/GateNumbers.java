package org.sageladder.core.limits;

/**
 * What one gate reports of itself, for its zone's summary.
 *
 * @param slots slots that may be used now
 * @param busy slots in use, those of targets no longer held included
 * @param queued requests waiting
 * @param offered requests that asked for a slot since the gate was made
 * @param admitted requests that got a slot since the gate was made
 * @param refused requests refused since the gate was made
 * @param offeredPerSecond requests a second wanted here of late; a refused one counts as a quarter,
 *     since its caller asks four places
 * @param admittedPerSecond requests admitted a second of late
 * @param ceilingPerSecond most the gate will admit a second now, by cap and capacity
 */
public record GateNumbers(
    int slots,
    int busy,
    int queued,
    long offered,
    long admitted,
    long refused,
    double offeredPerSecond,
    double admittedPerSecond,
    double ceilingPerSecond) {}
