package org.sageladder.core.limits;

/**
 * What a gate must know of a request.
 *
 * @param deadlineNanos monotonic time by which the answer is wanted
 * @param excludedTarget target a retry must not go to, or empty
 * @param fromRegion region that sent the request, or empty for this one
 */
public record AdmissionRequest(
    String requestId, long deadlineNanos, String excludedTarget, String fromRegion) {}
