package org.sageladder.protocol;

import java.util.List;
import org.sageladder.core.membership.ZoneSummary;

/**
 * What a zone's relay reports about its zone to the other zones.
 *
 * @param memberCount number of live members
 * @param lowestRevision lowest contract revision in force at any of them, 0 if one has none
 * @param laggingVms members below the relay's own revision; only some of them if there are many
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
