package org.sageladder.core.membership;

/**
 * An entry VM's report to its relay on one target.
 *
 * @param targetIncarnation as reported by the target itself; 0 if unknown
 * @param isDraining true once the target refused a request because it is draining, or reported that
 *     in its load report
 * @param inFlight requests of this entry VM that the target has not answered yet
 * @param loadMatchesInFlight whether the busy slots reported by the target have recently not
 *     exceeded this entry VM's requests in flight, so that no other VM sends to it
 */
public record TargetReport(
    String target,
    long targetIncarnation,
    boolean isDraining,
    int inFlight,
    boolean loadMatchesInFlight) {}
