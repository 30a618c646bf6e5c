package org.sageladder.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.time.TimeSource;

/**
 * Builds a zone's views from heartbeats and the platform's list; runs in the zone's relay.
 *
 * <pre>{@code
 * ZoneViewBuilder builder =
 *     ZoneViewBuilder.of(settings, time, "tartu-a", "vm-1", fencingToken, lastView, totalSlots);
 * builder.onHeartbeat(heartbeat);
 * builder.tick().ifPresent(view -> spreader.publish(encode(view)));
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class ZoneViewBuilder {
  private static final int COUNTER_BITS = 20;
  private static final long MIN_VIEW_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

  private final TimeSource time;
  private final String zone;
  private final String relay;
  private final ToIntFunction<String> totalSlots;
  private final MemberTable members;
  private final HoldingPlanner planner;
  private ZoneView lastView;
  private List<RelayedView.Withheld> lastWithheld = List.of();
  private boolean hasView;
  private long lastViewNanos;

  private ZoneViewBuilder(
      MembershipSettings settings,
      TimeSource time,
      String zone,
      String relay,
      long fencingToken,
      Optional<RelayedView> previous,
      ToIntFunction<String> totalSlots) {
    this.time = time;
    this.zone = zone;
    this.relay = relay;
    this.totalSlots = totalSlots;
    this.members = new MemberTable(settings, time);
    this.planner = new HoldingPlanner(settings, time, members);
    long lastNumber = previous.map(last -> last.view().number()).orElse(0L);
    long first = Math.max(fencingToken << COUNTER_BITS, lastNumber + 1);
    this.lastView = new ZoneView(zone, first - 1, List.of(), List.of());
    previous.ifPresent(
        view -> {
          members.restore(view.view().members());
          planner.restore(view);
        });
  }

  /**
   * Returns a builder that continues from {@code previous}.
   *
   * @param relay this entry VM
   * @param fencingToken fencing token of the relay's election; a later relay's views have higher
   *     numbers
   * @param totalSlots slots of one target of a service by the contract in force, 0 if unknown
   */
  public static ZoneViewBuilder of(
      MembershipSettings settings,
      TimeSource time,
      String zone,
      String relay,
      long fencingToken,
      Optional<RelayedView> previous,
      ToIntFunction<String> totalSlots) {
    return new ZoneViewBuilder(settings, time, zone, relay, fencingToken, previous, totalSlots);
  }

  /** Returns the fencing token contained in a view's number. */
  public static long fencingTokenOf(long viewNumber) {
    return viewNumber >> COUNTER_BITS;
  }

  /** Applies a heartbeat and returns the answer to send. */
  public HeartbeatAnswer onHeartbeat(Heartbeat heartbeat) {
    boolean isCurrent = members.onHeartbeat(heartbeat);
    if (isCurrent) {
      planner.onTargetReports(heartbeat.targetReports());
    }
    MemberTable.Entry entry = members.entry(heartbeat.sender().vm());
    long knownIncarnation = entry == null ? 0 : entry.member().incarnation();
    boolean isConfirmed = isCurrent && hasView && heartbeat.viewNumber() >= lastView.number();
    return new HeartbeatAnswer(
        heartbeat.sentNanos(), lastView.number(), true, isConfirmed, knownIncarnation);
  }

  /** Applies a fetch of the platform's list. */
  public void onPlatformList(List<ListedVm> listings) {
    members.onPlatformList(listings);
    planner.onPlatformList(zone, listings);
  }

  /** Sets which targets of this zone may be in use by another zone, with half their slots. */
  public void setLentTargets(Predicate<String> isLent) {
    planner.setLentTargets(isLent);
  }

  /**
   * Lets members use half the slots of targets whose own zone has no entry VMs left.
   *
   * <p>Idempotent; must be called again for each next relay.
   */
  public void takeOver(String owningZone, List<Holding> holdings) {
    planner.takeOver(owningZone, holdings);
  }

  /** Makes members stop using the targets of {@code owningZone}, whose entry VMs are back. */
  public void giveBack(String owningZone) {
    planner.giveBack(owningZone);
  }

  /**
   * Whether members hold targets of {@code owningZone} or still have requests in flight to them.
   */
  public boolean holdsTargetsOf(String owningZone) {
    return planner.holdsTargetsOf(owningZone);
  }

  /** Returns a new view if anything changed since the last one. */
  public Optional<RelayedView> tick() {
    members.tick();
    if (hasView && time.nanos() - lastViewNanos < MIN_VIEW_INTERVAL_NANOS) {
      return Optional.empty();
    }
    long number = lastView.number() + 1;
    ZoneView next =
        new ZoneView(zone, number, members.liveMembers(), planner.holdings(number, totalSlots));
    List<RelayedView.Withheld> withheld = planner.withheld();
    boolean isUnchanged =
        hasView
            && next.members().equals(lastView.members())
            && next.holdings().equals(lastView.holdings())
            && withheld.equals(lastWithheld);
    if (isUnchanged) {
      return Optional.empty();
    }
    lastWithheld = withheld;
    hasView = true;
    lastViewNanos = time.nanos();
    lastView = next;
    return Optional.of(new RelayedView(next, relay, withheld));
  }

  /**
   * Whether the counter in the view number is exhausted, so that the relay must be elected again.
   */
  public boolean isCounterExhausted() {
    return (lastView.number() & ((1L << COUNTER_BITS) - 1)) == (1L << COUNTER_BITS) - 2;
  }

  /** Fraction of the zone's members that are live, from 0 to 1. */
  public double liveFraction() {
    return members.liveFraction();
  }

  /** Recent load of the zone's gates, summed per service. */
  public List<ZoneSummary> summaries() {
    Map<String, ZoneSummary> sums = new TreeMap<>();
    for (MemberTable.Entry entry : members.liveEntries()) {
      Heartbeat heartbeat = entry.lastHeartbeat();
      if (heartbeat != null) {
        for (ZoneSummary summary : heartbeat.summaries()) {
          sums.merge(summary.service(), withZone(summary), ZoneViewBuilder::add);
        }
      }
    }
    return new ArrayList<>(sums.values());
  }

  /** Contract revision in force at each live member, by name. */
  public Map<String, Long> revisionsInForce() {
    Map<String, Long> revisions = new TreeMap<>();
    for (MemberTable.Entry entry : members.liveEntries()) {
      Heartbeat heartbeat = entry.lastHeartbeat();
      revisions.put(entry.member().vm(), heartbeat == null ? 0 : heartbeat.contractRevision());
    }
    return revisions;
  }

  private ZoneSummary withZone(ZoneSummary summary) {
    return new ZoneSummary(
        zone,
        summary.customer(),
        summary.service(),
        time.wallMillis(),
        summary.slots(),
        summary.busy(),
        summary.queued(),
        summary.admittedPerSecond(),
        summary.ceilingPerSecond(),
        summary.demandPerSecond());
  }

  private static ZoneSummary add(ZoneSummary left, ZoneSummary right) {
    return new ZoneSummary(
        left.zone(),
        left.customer(),
        left.service(),
        left.takenAtMillis(),
        left.slots() + right.slots(),
        left.busy() + right.busy(),
        left.queued() + right.queued(),
        left.admittedPerSecond() + right.admittedPerSecond(),
        left.ceilingPerSecond() + right.ceilingPerSecond(),
        left.demandPerSecond() + right.demandPerSecond());
  }
}
