package org.sageladder.core.limits;

/**
 * The properties of a request that decide on its admission.
 *
 * @param deadlineNanos monotonic time by which the response is needed
 * @param excludedTarget target that a retry must not go to, or empty
 * @param fromRegion region that forwarded the request, or empty for this one
 */
public record AdmissionRequest(
    String requestId, long deadlineNanos, String excludedTarget, String fromRegion) {}
