package org.sageladder.entry.control;

import java.time.Duration;
import org.sageladder.core.membership.MembershipSettings;
import org.sageladder.core.spread.RelaySettings;
import org.sageladder.core.spread.SpreadSettings;

/**
 * Intervals, timeouts and byte budgets of the control plane.
 *
 * @param reportInterval interval between two reports of a zone's load to its own region; also the
 *     minimum interval between two reports to all zones
 * @param reportIntervalPerZone multiplied by the number of zones, the interval between two reports
 *     to all zones. Every such report passes every relay, so the interval must grow with the number
 *     of zones to stay within the byte budget: 8 s at 94 zones, which is also the maximum age at
 *     which steering uses a reading
 * @param zoneSilenceTimeout time without a message from another zone after which it counts as
 *     silent; longer than a zone takes to replace its relay
 * @param snapshotRetryInterval interval between two attempts of a newly started VM to get a
 *     snapshot
 * @param snapshotPeerWait how long to wait for snapshots of more peers after the first one
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

  /** Interval between two reports to all zones if there are {@code zoneCount} zones. */
  Duration reportIntervalToAllZones(int zoneCount) {
    Duration byZones = reportIntervalPerZone.multipliedBy(zoneCount);
    return byZones.compareTo(reportInterval) > 0 ? byZones : reportInterval;
  }

  /**
   * Time without a message after which a zone counts as silent: at least three report intervals.
   */
  Duration zoneSilenceTimeout(int zoneCount) {
    Duration byReports = reportIntervalToAllZones(zoneCount).multipliedBy(3);
    return byReports.compareTo(zoneSilenceTimeout) > 0 ? byReports : zoneSilenceTimeout;
  }
}
