package org.sageladder.core.membership;

import java.util.List;

/**
 * Heartbeat of an entry VM, sent to its zone's relay several times a second.
 *
 * @param sentNanos sender's monotonic clock; echoed in the answer and meaningful only to the sender
 * @param viewNumber zone view in use at the sender, which dispatches only by this view
 * @param contractRevision revision in force at the sender, 0 for none
 * @param targetReports reports on targets that the sender holds or has requests in flight to
 * @param summaries activity of the sender's own gates, one summary per service
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
