package org.sageladder.core.membership;

import java.util.List;

/**
 * What an entry VM tells its zone's relay a few times a second.
 *
 * @param sentNanos sender's monotonic clock; the answer echoes it, nobody else reads it
 * @param viewNumber zone view that the sender acts on: it dispatches only by this view
 * @param contractRevision revision in force at the sender, 0 for none
 * @param targetReports targets that the sender holds or still has requests in flight at
 * @param summaries what the sender's own gates did, one for each service
 */
public record Heartbeat(
    Member sender,
    long sentNanos,
    long viewNumber,
    long contractRevision,
    List<TargetReport> targetReports,
    List<ZoneSummary> summaries) {
  /** Copies the lists. */
  public Heartbeat {
    targetReports = List.copyOf(targetReports);
    summaries = List.copyOf(summaries);
  }
}
