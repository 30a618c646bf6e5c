package org.sageladder.core.quota;

/** Whether a request of a workspace may run. */
public sealed interface QuotaDecision {
  /** It may, and counts. */
  record Granted() implements QuotaDecision {}

  /**
   * The workspace has used its quota.
   *
   * @param retryAfterMillis when there is room again
   * @param detail what it was decided by, for the log
   */
  record Refused(long retryAfterMillis, String detail) implements QuotaDecision {}

  /** Its coordinator is asked; the decision comes later. */
  record Pending() implements QuotaDecision {}
}
