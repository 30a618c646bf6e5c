package org.sageladder.protocol;

import java.util.List;
import org.sageladder.core.membership.ZoneSummary;

/**
 * What a zone's relay tells all others of its zone.
 *
 * @param members live members
 * @param lowestRevision lowest contract revision in force at any of them, 0 where one has none
 * @param lagging members below the relay's own revision, some of them where they are many
 */
public record ZoneReport(
    String zone,
    String customer,
    long takenAtMillis,
    List<ZoneSummary> summaries,
    int members,
    long lowestRevision,
    List<String> lagging) {
  /** Copies the lists. */
  public ZoneReport {
    summaries = List.copyOf(summaries);
    lagging = List.copyOf(lagging);
  }
}
