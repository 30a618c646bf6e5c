package org.sageladder.core.membership;

/**
 * What an entry VM tells its relay of one target.
 *
 * @param targetIncarnation as the target itself tells it; 0 where not known
 * @param isDraining true once the target refused as leaving or its load said so
 * @param inFlight requests of this entry VM that the target has not answered yet
 * @param loadMatchesInFlight whether the target's own reading of its busy slots has lately been no
 *     higher than this entry VM's requests in flight, so that nobody else sends to it
 */
public record TargetReport(
    String target,
    long targetIncarnation,
    boolean isDraining,
    int inFlight,
    boolean loadMatchesInFlight) {}
