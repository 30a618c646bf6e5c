package org.sageladder.core.quota;

/** Messages between entry VMs on the use of quotas. */
public sealed interface QuotaMessage {
  /** Name of the workspace that it is about. */
  String workspace();

  /**
   * A VM reports its use to the workspace's coordinator, and asks for tokens.
   *
   * @param number number of the report; the answer repeats it
   * @param total requests that it has let run since its start
   * @param recent requests that it let run in the last window
   * @param wanted tokens that it asks for
   * @param held tokens that it has not used yet
   */
  record UsageReport(String workspace, int number, int total, int recent, int wanted, int held)
      implements QuotaMessage {}

  /**
   * The coordinator's answer, or its notice to all VMs.
   *
   * @param number number of the report that it answers, or 0 for a notice
   * @param limited true where requests need tokens for now
   * @param tokens requests that the VM may let run
   * @param retryMillis when a request that got no token may come back
   */
  record TokenGrant(String workspace, int number, boolean limited, int tokens, long retryMillis)
      implements QuotaMessage {
    /** Number of a grant that answers no report. */
    public static final int NOTICE = 0;
  }
}
