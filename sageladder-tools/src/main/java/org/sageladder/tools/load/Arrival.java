package org.sageladder.tools.load;

import java.time.Duration;

/**
 * One request to be sent at its due time, regardless of the progress of earlier requests.
 *
 * @param dueNanos due time, relative to the start of the experiment
 * @param requestId id of the request at the targets, unique within the run
 * @param region region of the caller
 * @param block client block of the caller
 */
public record Arrival(
    long dueNanos,
    String requestId,
    String service,
    boolean repeatable,
    String region,
    int block,
    Duration deadline,
    int answerBytes) {}
