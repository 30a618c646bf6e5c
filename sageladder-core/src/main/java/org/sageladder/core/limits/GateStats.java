package org.sageladder.core.limits;

/**
 * Counts and rates of one gate, for the summary of its zone.
 *
 * @param usableSlots slots that may be used now
 * @param busySlots slots in use, including those of targets no longer held
 * @param queuedCount requests in the queue
 * @param offeredCount requests that asked for a slot since the gate was created
 * @param admittedCount requests that got a slot since the gate was created
 * @param refusedCount requests refused since the gate was created
 * @param offeredPerSecond recent rate of offered requests; a refused request counts as a quarter,
 *     since its client tries four entry VMs
 * @param admittedPerSecond recent rate of admitted requests
 * @param ceilingPerSecond maximum rate that the gate can admit now, by shift caps and slots
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
