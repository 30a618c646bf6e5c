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

/** What an entry VM does while it is its zone's relay: views, reports and answers to heartbeats. */
final class RelayRole {
  private static final int MOST_LAGGING_NAMED = 5;
  private static final double MAJORITY = 0.5;

  private final ControlIdentity identity;
  private final ControlTimes times;
  private final TimeSource time;
  private final KnownState known;
  private final VersionedTable table;
  private final RelayElection duty;
  private final Consumer<Item> publish;
  private final EventSink events;
  private final ZoneTakeOver takeOver;
  private @Nullable ZoneViewBuilder maker;
  private long makerFencing;
  private List<ListedVm> lastList = List.of();
  private long nextReportNanos;
  private long nextNearReportNanos;
  private long lastTickNanos;
  private long distrustUntilNanos;

  RelayRole(
      ControlIdentity identity,
      ControlTimes times,
      TimeSource time,
      KnownState known,
      VersionedTable table,
      RelayElection duty,
      Consumer<Item> publish,
      TargetProbe probe,
      EventSink events) {
    this.identity = identity;
    this.times = times;
    this.time = time;
    this.known = known;
    this.table = table;
    this.duty = duty;
    this.publish = publish;
    this.events = events;
    this.takeOver = new ZoneTakeOver(identity, time, known, table, probe, publish, events);
    this.lastTickNanos = time.nanos();
    this.distrustUntilNanos = time.nanos();
  }

  /** Whether this VM makes views now. */
  boolean active() {
    return maker != null;
  }

  /** This VM has loaded its first snapshot. */
  void started() {
    takeOver.away();
  }

  void listed(List<ListedVm> lines) {
    lastList = lines.stream().filter(line -> line.customer().equals(identity.customer())).toList();
    ZoneViewBuilder making = maker;
    if (making != null) {
      making.onPlatformList(lastList);
    }
  }

  /** Starts or stops with the duty, and publishes what is due. */
  void tick() {
    notePause();
    if (!duty.isRelay()) {
      stop();
      return;
    }
    if (maker == null || makerFencing != duty.fencingToken()) {
      begin();
    }
    ZoneViewBuilder making = maker;
    if (making == null) {
      return;
    }
    takeOver.tick(making);
    Optional<RelayedView> view = making.tick();
    view.ifPresent(this::publishView);
    publishReports(making);
  }

  /** The answer to a heartbeat, as long as this VM is relay. */
  Optional<HeartbeatAnswer> heartbeat(Heartbeat heartbeat) {
    ZoneViewBuilder making = maker;
    if (making == null) {
      return Optional.empty();
    }
    HeartbeatAnswer answer = making.onHeartbeat(heartbeat);
    return Optional.of(
        new HeartbeatAnswer(
            answer.echoedSentNanos(),
            answer.viewNumber(),
            answer.isRelay(),
            answer.isConfirmed() && mayConfirm(making),
            answer.knownIncarnation()));
  }

  /**
   * Whether holders may rely on this relay alone.
   *
   * <p>Guards against two relays that both confirm: one whose lease lapsed while it was paused, and
   * the next one. With a valid lease there is no next one. Without, the relay waits after a pause
   * until a next one's view would have reached it, and needs to hear most of the zone, so that of
   * two parts of a split zone at most one is confirmed in full.
   */
  private boolean mayConfirm(ZoneViewBuilder making) {
    if (duty.state() == RelayElection.State.HOLDING) {
      return true;
    }
    boolean rested = time.nanos() - distrustUntilNanos >= 0;
    return rested && making.liveFraction() > MAJORITY;
  }

  private void notePause() {
    long now = time.nanos();
    if (now - lastTickNanos > times.membership().takeOverTimeout().toNanos()) {
      takeOver.away();
    }
    if (now - lastTickNanos > times.membership().maxPause().toNanos()) {
      distrustUntilNanos = now + times.membership().takeOverTimeout().toNanos();
    }
    lastTickNanos = now;
  }

  private void begin() {
    makerFencing = duty.fencingToken();
    maker =
        ZoneViewBuilder.of(
            times.membership(),
            time,
            identity.zone(),
            identity.vm(),
            makerFencing,
            known.view(identity.zone()),
            this::slotsPerTarget);
    takeOverAgain(maker);
    maker.onPlatformList(lastList);
    nextReportNanos = time.nanos() + Duration.ofMillis(200).toNanos();
    nextNearReportNanos = nextReportNanos;
    events.record(
        EventKind.LEASE_GAINED,
        "",
        identity.customer(),
        identity.zone(),
        makerFencing,
        "relay, " + duty.state());
  }

  /** Targets of another zone that the relay before took over look like the own zone's. */
  private void takeOverAgain(ZoneViewBuilder making) {
    making.setLentTargets(takeOver::lent);
    for (String zone : known.regionMates()) {
      known
          .takeOver(zone)
          .filter(view -> view.relay().equals(identity.zone()))
          .ifPresent(view -> making.takeOver(zone, view.view().holdings()));
    }
  }

  private void stop() {
    if (maker == null) {
      return;
    }
    maker = null;
    events.record(
        EventKind.LEASE_LOST, "", identity.customer(), identity.zone(), makerFencing, "no relay");
  }

  private int slotsPerTarget(String service) {
    Contract contract = known.contract();
    if (contract == null) {
      return 0;
    }
    return contract.service(service).map(Contract.Service::slotsPerTarget).orElse(0);
  }

  private void publishView(RelayedView view) {
    publish.accept(
        Item.of(
            ItemKind.VIEW, identity.zone(), view.view().number(), MembershipCodec.encode(view)));
  }

  /**
   * Reports to all zones as often as the byte budget lets so many zones report, and to those of the
   * own region, on which steering leans first, each {@link ControlTimes#report}.
   */
  private void publishReports(ZoneViewBuilder making) {
    long now = time.nanos();
    if (now - nextReportNanos >= 0) {
      nextReportNanos = now + times.reportEvery(known.views().size()).toNanos();
      nextNearReportNanos = now + times.report().toNanos();
      publishReport(making, ReportKeys.far(identity.zone()));
    } else if (now - nextNearReportNanos >= 0) {
      nextNearReportNanos = now + times.report().toNanos();
      publishReport(making, ReportKeys.near(identity.zone()));
    }
  }

  private void publishReport(ZoneViewBuilder making, ItemKey key) {
    Map<String, Long> revisions = making.revisionsInForce();
    long lowest = revisions.values().stream().mapToLong(Long::longValue).min().orElse(0);
    List<String> lagging =
        revisions.entrySet().stream()
            .filter(entry -> entry.getValue() < known.revision())
            .map(Map.Entry::getKey)
            .limit(MOST_LAGGING_NAMED)
            .toList();
    ZoneReport report =
        new ZoneReport(
            identity.zone(),
            identity.customer(),
            time.wallMillis(),
            making.summaries(),
            revisions.size(),
            lowest,
            lagging);
    long version = Math.max(makerFencing << 20, table.version(key) + 1);
    publish.accept(new Item(key, version, 0, MembershipCodec.encode(report)));
  }
}
