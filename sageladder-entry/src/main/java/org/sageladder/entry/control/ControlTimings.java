package org.sageladder.entry.control;

import java.time.Duration;
import org.sageladder.core.membership.MembershipSettings;
import org.sageladder.core.spread.RelaySettings;
import org.sageladder.core.spread.SpreadSettings;

/**
 * Times and budgets of the control plane.
 *
 * @param reportInterval time between two reports of a zone's load to its own region, and the least
 *     between two to all zones
 * @param reportIntervalPerZone time for each zone between two reports to all zones, so that the
 *     reports of many zones, each of which passes every relay, keep to the byte budget; 8 s at 94
 *     zones, for as long as steering takes a reading for fresh
 * @param zoneSilenceTimeout how long nothing may be heard of another zone before it counts as lost;
 *     longer than a zone goes without a relay
 * @param snapshotRetryInterval time between two tries of a fresh VM to get a snapshot
 * @param snapshotPeerWait how long to wait for further peers after the first one answered
 */
record ControlTimings(
    MembershipSettings membership,
    RelaySettings relay,
    SpreadSettings spread,
    Duration reportInterval,
    Duration reportIntervalPerZone,
    Duration zoneSilenceTimeout,
    Duration snapshotRetryInterval,
    Duration snapshotPeerWait) {
  static ControlTimings standard() {
    return new ControlTimings(
        MembershipSettings.standard(),
        RelaySettings.standard(),
        SpreadSettings.standard(),
        Duration.ofSeconds(1),
        Duration.ofMillis(85),
        Duration.ofSeconds(6),
        Duration.ofMillis(500),
        Duration.ofSeconds(1));
  }

  /** Time between two reports of a zone where there are {@code zones} zones. */
  Duration reportIntervalToAllZones(int zoneCount) {
    Duration byZones = reportIntervalPerZone.multipliedBy(zoneCount);
    return byZones.compareTo(reportInterval) > 0 ? byZones : reportInterval;
  }

  /** How long nothing may be heard of a zone: at least three reports. */
  Duration zoneSilenceTimeout(int zones) {
    Duration byReports = reportIntervalToAllZones(zones).multipliedBy(3);
    return byReports.compareTo(zoneSilenceTimeout) > 0 ? byReports : zoneSilenceTimeout;
  }
}
