package org.sageladder.entry.control;

import java.time.Duration;
import org.sageladder.core.membership.MembershipSettings;
import org.sageladder.core.spread.RelaySettings;
import org.sageladder.core.spread.SpreadSettings;

/**
 * Times and budgets of the control plane.
 *
 * @param report time between two reports of a zone's load
 * @param zoneSilence how long nothing may be heard of another zone before it counts as lost; longer
 *     than a zone goes without a relay
 * @param snapshotRetry time between two tries of a fresh VM to get a snapshot
 * @param snapshotWait how long to wait for further peers after the first one answered
 */
record ControlTimes(
    MembershipSettings membership,
    RelaySettings relay,
    SpreadSettings spread,
    Duration report,
    Duration zoneSilence,
    Duration snapshotRetry,
    Duration snapshotWait) {
  static ControlTimes standard() {
    return new ControlTimes(
        MembershipSettings.standard(),
        RelaySettings.standard(),
        SpreadSettings.standard(),
        Duration.ofSeconds(1),
        Duration.ofSeconds(6),
        Duration.ofMillis(500),
        Duration.ofSeconds(1));
  }
}
