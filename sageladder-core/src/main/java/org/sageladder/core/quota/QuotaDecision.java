package org.sageladder.core.quota;

/** Decision whether a request of a workspace may run. */
public sealed interface QuotaDecision {
  /** The request may run and counts against the quota. */
  record Granted() implements QuotaDecision {}

  /**
   * The workspace has used up its quota.
   *
   * @param retryAfterMillis time after which a retry may be admitted
   * @param detail what the decision is based on, for the log
   */
  record Refused(long retryAfterMillis, String detail) implements QuotaDecision {}

  /** The decision requires an answer of the coordinator and is delivered later. */
  record Pending() implements QuotaDecision {}
}
