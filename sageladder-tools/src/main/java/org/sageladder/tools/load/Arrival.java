package org.sageladder.tools.load;

import java.time.Duration;

/**
 * One request to be sent at its own time, however the ones before it fare.
 *
 * @param dueNanos time after the first moment of the experiment
 * @param requestId names the request at targets, unique in the run
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
