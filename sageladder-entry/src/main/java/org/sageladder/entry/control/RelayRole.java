package org.sageladder.entry.control;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.Heartbeat;
import org.sageladder.core.membership.HeartbeatAnswer;
import org.sageladder.core.membership.RelayedView;
import org.sageladder.core.membership.ZoneViewBuilder;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.spread.Item;
import org.sageladder.core.spread.ItemKey;
import org.sageladder.core.spread.ItemKind;
import org.sageladder.core.spread.RelayElection;
import org.sageladder.core.spread.VersionedTable;
import org.sageladder.core.time.TimeSource;
import org.sageladder.protocol.MembershipCodec;
import org.sageladder.protocol.ZoneReport;

/**
 * Work of an entry VM while it is its zone's relay: publishes views and reports, answers
 * heartbeats.
 */
final class RelayRole {
  private static final int MAX_REPORTED_LAGGING_VMS = 5;
  private static final double MAJORITY_FRACTION = 0.5;

  private final ControlIdentity identity;
  private final ControlTimings timings;
  private final TimeSource time;
  private final ReplicatedState replicatedState;
  private final VersionedTable table;
  private final RelayElection election;
  private final Consumer<Item> publisher;
  private final EventSink events;
  private final ZoneTakeOver takeOver;
  private @Nullable ZoneViewBuilder viewBuilder;
  private long fencingToken;
  private List<ListedVm> platformList = List.of();
  private long nextReportNanos;
  private long nextRegionReportNanos;
  private long lastTickNanos;
  private long confirmationBlockedUntilNanos;

  RelayRole(
      ControlIdentity identity,
      ControlTimings timings,
      TimeSource time,
      ReplicatedState replicatedState,
      VersionedTable table,
      RelayElection election,
      Consumer<Item> publisher,
      TargetProbe probe,
      EventSink events) {
    this.identity = identity;
    this.timings = timings;
    this.time = time;
    this.replicatedState = replicatedState;
    this.table = table;
    this.election = election;
    this.publisher = publisher;
    this.events = events;
    this.takeOver =
        new ZoneTakeOver(identity, time, replicatedState, table, probe, publisher, events);
    this.lastTickNanos = time.nanos();
    this.confirmationBlockedUntilNanos = time.nanos();
  }

  /** Whether this VM builds views now. */
  boolean isActive() {
    return viewBuilder != null;
  }

  /** Called when this VM has loaded its initial snapshot. */
  void onReady() {
    takeOver.assumeLent();
  }

  void onPlatformList(List<ListedVm> vms) {
    platformList = vms.stream().filter(vm -> vm.customer().equals(identity.customer())).toList();
    ZoneViewBuilder builder = viewBuilder;
    if (builder != null) {
      builder.onPlatformList(platformList);
    }
  }

  /**
   * Starts when this VM becomes relay, stops when it no longer is, and publishes views and reports
   * that are due.
   */
  void tick() {
    detectPause();
    if (!election.isRelay()) {
      stopBuilding();
      return;
    }
    if (viewBuilder == null || fencingToken != election.fencingToken()) {
      startBuilding();
    }
    ZoneViewBuilder builder = viewBuilder;
    if (builder == null) {
      return;
    }
    takeOver.tick(builder);
    Optional<RelayedView> view = builder.tick();
    view.ifPresent(this::publishView);
    publishReports(builder);
  }

  /** The answer to a heartbeat; empty unless this VM is relay. */
  Optional<HeartbeatAnswer> onHeartbeat(Heartbeat heartbeat) {
    ZoneViewBuilder builder = viewBuilder;
    if (builder == null) {
      return Optional.empty();
    }
    HeartbeatAnswer answer = builder.onHeartbeat(heartbeat);
    return Optional.of(
        new HeartbeatAnswer(
            answer.echoedSentNanos(),
            answer.viewNumber(),
            answer.isRelay(),
            answer.isConfirmed() && canConfirm(builder),
            answer.knownIncarnation()));
  }

  /**
   * Whether members may treat the answer of this relay as a confirmation of their holdings.
   *
   * <p>Prevents two relays from both confirming: one whose lease expired while it was paused, and
   * its successor. While the lease is valid there is no successor. Without a valid lease, the relay
   * waits after a pause until the view of a successor would have reached it. It must also receive
   * heartbeats from a majority of the zone, so that at most one part of a partitioned zone is
   * confirmed in full.
   */
  private boolean canConfirm(ZoneViewBuilder builder) {
    if (election.state() == RelayElection.State.HOLDING) {
      return true;
    }
    boolean isPastBlock = time.nanos() - confirmationBlockedUntilNanos >= 0;
    return isPastBlock && builder.liveFraction() > MAJORITY_FRACTION;
  }

  private void detectPause() {
    long now = time.nanos();
    if (now - lastTickNanos > timings.membership().takeOverTimeout().toNanos()) {
      takeOver.assumeLent();
    }
    if (now - lastTickNanos > timings.membership().maxPause().toNanos()) {
      confirmationBlockedUntilNanos = now + timings.membership().takeOverTimeout().toNanos();
    }
    lastTickNanos = now;
  }

  private void startBuilding() {
    fencingToken = election.fencingToken();
    viewBuilder =
        ZoneViewBuilder.of(
            timings.membership(),
            time,
            identity.zone(),
            identity.vm(),
            fencingToken,
            replicatedState.view(identity.zone()),
            this::slotsPerTarget);
    restoreTakeOvers(viewBuilder);
    viewBuilder.onPlatformList(platformList);
    nextReportNanos = time.nanos() + Duration.ofMillis(200).toNanos();
    nextRegionReportNanos = nextReportNanos;
    events.record(
        EventKind.LEASE_GAINED,
        "",
        identity.customer(),
        identity.zone(),
        fencingToken,
        "relay, " + election.state());
  }

  /**
   * Restores the take-overs by the previous relay, whose last view lists targets of other zones
   * like those of the own zone.
   */
  private void restoreTakeOvers(ZoneViewBuilder builder) {
    builder.setLentTargets(takeOver::isLent);
    for (String zone : replicatedState.otherZonesOfRegion()) {
      replicatedState
          .takeOver(zone)
          .filter(view -> view.relay().equals(identity.zone()))
          .ifPresent(view -> builder.takeOver(zone, view.view().holdings()));
    }
  }

  private void stopBuilding() {
    if (viewBuilder == null) {
      return;
    }
    viewBuilder = null;
    events.record(
        EventKind.LEASE_LOST,
        "",
        identity.customer(),
        identity.zone(),
        fencingToken,
        "no longer relay");
  }

  private int slotsPerTarget(String service) {
    Contract contract = replicatedState.contract();
    if (contract == null) {
      return 0;
    }
    return contract.service(service).map(Contract.Service::slotsPerTarget).orElse(0);
  }

  private void publishView(RelayedView view) {
    publisher.accept(
        Item.of(
            ItemKind.VIEW, identity.zone(), view.view().number(), MembershipCodec.encode(view)));
  }

  /**
   * Publishes a report to all zones as often as the byte budget allows for their number, and to the
   * zones of the own region, which steering prefers, every {@link ControlTimings#reportInterval}.
   */
  private void publishReports(ZoneViewBuilder builder) {
    long now = time.nanos();
    if (now - nextReportNanos >= 0) {
      nextReportNanos =
          now + timings.reportIntervalToAllZones(replicatedState.views().size()).toNanos();
      nextRegionReportNanos = now + timings.reportInterval().toNanos();
      publishReport(builder, ReportKeys.forAllZones(identity.zone()));
    } else if (now - nextRegionReportNanos >= 0) {
      nextRegionReportNanos = now + timings.reportInterval().toNanos();
      publishReport(builder, ReportKeys.forRegion(identity.zone()));
    }
  }

  private void publishReport(ZoneViewBuilder builder, ItemKey key) {
    Map<String, Long> revisions = builder.revisionsInForce();
    long lowestRevision = revisions.values().stream().mapToLong(Long::longValue).min().orElse(0);
    List<String> lagging =
        revisions.entrySet().stream()
            .filter(entry -> entry.getValue() < replicatedState.contractRevision())
            .map(Map.Entry::getKey)
            .limit(MAX_REPORTED_LAGGING_VMS)
            .toList();
    ZoneReport report =
        new ZoneReport(
            identity.zone(),
            identity.customer(),
            time.wallMillis(),
            builder.summaries(),
            revisions.size(),
            lowestRevision,
            lagging);
    long version = Math.max(fencingToken << 20, table.version(key) + 1);
    publisher.accept(new Item(key, version, 0, MembershipCodec.encode(report)));
  }
}
