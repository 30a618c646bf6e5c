package org.sageladder.core.quota;

/** Messages between entry VMs on the use of quotas. */
public sealed interface QuotaMessage {
  /** Name of the workspace that it is about. */
  String workspace();

  /**
   * A VM reports its use to the workspace's coordinator, and asks for tokens.
   *
   * @param reportNumber number of the report; the answer repeats it
   * @param totalAdmitted requests that it has let run since its start
   * @param admittedInWindow requests that it let run in the last window
   * @param wantedTokens tokens that it asks for
   * @param heldTokens tokens that it has not used yet
   */
  record UsageReport(
      String workspace,
      int reportNumber,
      int totalAdmitted,
      int admittedInWindow,
      int wantedTokens,
      int heldTokens)
      implements QuotaMessage {}

  /**
   * The coordinator's answer, or its notice to all VMs.
   *
   * @param reportNumber number of the report that it answers, or 0 for a notice
   * @param tokensRequired true where requests need tokens for now
   * @param tokens requests that the VM may let run
   * @param retryAfterMillis when a request that got no token may come back
   */
  record TokenGrant(
      String workspace, int reportNumber, boolean tokensRequired, int tokens, long retryAfterMillis)
      implements QuotaMessage {
    /** Number of a grant that answers no report. */
    public static final int NOTICE = 0;
  }
}
