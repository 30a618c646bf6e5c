package org.sageladder.core.quota;

/** Messages that entry VMs exchange about the use of quotas. */
public sealed interface QuotaMessage {
  /** Name of the workspace concerned. */
  String workspace();

  /**
   * Report of a VM to the coordinator of a workspace, which also requests tokens.
   *
   * @param reportNumber sequence number of the report; the answer repeats it
   * @param totalAdmitted requests that the VM has admitted since its start
   * @param admittedInWindow requests that the VM has admitted in the last window
   * @param wantedTokens tokens requested
   * @param heldTokens tokens that the VM has not used yet
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
   * Answer of the coordinator to a report, or its notice to all VMs.
   *
   * @param reportNumber number of the report that is answered, or {@link #NOTICE}
   * @param tokensRequired true if each request needs a token for now
   * @param tokens tokens granted to the VM
   * @param retryAfterMillis time after which a request that got no token may be retried
   */
  record TokenGrant(
      String workspace, int reportNumber, boolean tokensRequired, int tokens, long retryAfterMillis)
      implements QuotaMessage {
    /** Report number of a grant that answers no report. */
    public static final int NOTICE = 0;
  }
}
