package org.sageladder.protocol;

import java.util.List;
import org.sageladder.core.membership.ZoneSummary;

/**
 * What a zone's relay tells all others of its zone.
 *
 * @param memberCount live members
 * @param lowestRevision lowest contract revision in force at any of them, 0 where one has none
 * @param laggingVms members below the relay's own revision, some of them where they are many
 */
public record ZoneReport(
    String zone,
    String customer,
    long takenAtMillis,
    List<ZoneSummary> summaries,
    int memberCount,
    long lowestRevision,
    List<String> laggingVms) {
  /** Copies the lists. */
  public ZoneReport {
    summaries = List.copyOf(summaries);
    laggingVms = List.copyOf(laggingVms);
  }
}
