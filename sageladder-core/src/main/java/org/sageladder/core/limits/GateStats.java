package org.sageladder.core.limits;

/**
 * What one gate reports of itself, for its zone's summary.
 *
 * @param usableSlots slots that may be used now
 * @param busySlots slots in use, those of targets no longer held included
 * @param queuedCount requests waiting
 * @param offeredCount requests that asked for a slot since the gate was made
 * @param admittedCount requests that got a slot since the gate was made
 * @param refusedCount requests refused since the gate was made
 * @param offeredPerSecond requests a second wanted here of late; a refused one counts as a quarter,
 *     since its caller asks four places
 * @param admittedPerSecond requests admitted a second of late
 * @param ceilingPerSecond most the gate will admit a second now, by cap and capacity
 */
public record GateStats(
    int usableSlots,
    int busySlots,
    int queuedCount,
    long offeredCount,
    long admittedCount,
    long refusedCount,
    double offeredPerSecond,
    double admittedPerSecond,
    double ceilingPerSecond) {}
