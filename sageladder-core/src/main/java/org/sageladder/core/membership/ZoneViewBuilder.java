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
 * Makes a zone's views out of heartbeats and the platform's list, in the zone's relay.
 *
 * <pre>{@code
 * ViewMaker maker = ViewMaker.of(settings, time, "tartu-a", "vm-1", fencing, lastView, totalSlots);
 * maker.heartbeat(heartbeat);
 * maker.tick().ifPresent(view -> spreader.publish(encode(view)));
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
   * A maker that goes on from {@code previous}.
   *
   * @param relay this entry VM
   * @param fencingToken the relay's fencing revision; views of a later relay have higher numbers
   * @param totalSlots slots of one target of a service by the contract in force, 0 where unknown
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

  /** The fencing revision in a view's number. */
  public static long fencingTokenOf(long viewNumber) {
    return viewNumber >> COUNTER_BITS;
  }

  /** Takes a heartbeat in and says what to answer. */
  public HeartbeatAnswer onHeartbeat(Heartbeat heartbeat) {
    boolean current = members.onHeartbeat(heartbeat);
    if (current) {
      planner.onTargetReports(heartbeat.targetReports());
    }
    MemberTable.Entry entry = members.entry(heartbeat.sender().vm());
    long known = entry == null ? 0 : entry.member().incarnation();
    boolean confirmed = current && hasView && heartbeat.viewNumber() >= lastView.number();
    return new HeartbeatAnswer(heartbeat.sentNanos(), lastView.number(), true, confirmed, known);
  }

  /** Takes in a fetch of the platform's list. */
  public void onPlatformList(List<ListedVm> listings) {
    members.onPlatformList(listings);
    planner.onPlatformList(zone, listings);
  }

  /** Sets which of the zone's targets another zone may be using half the slots of. */
  public void setLentTargets(Predicate<String> isLent) {
    planner.setLentTargets(isLent);
  }

  /**
   * Lets members use half the slots of targets whose own zone has no entry VMs left.
   *
   * <p>May be told again and again, and is told to each next relay.
   */
  public void takeOver(String owningZone, List<Holding> holdings) {
    planner.takeOver(owningZone, holdings);
  }

  /** Makes members stop using the targets of {@code homeZone}, whose entry VMs are back. */
  public void giveBack(String owningZone) {
    planner.giveBack(owningZone);
  }

  /** Whether members hold targets of {@code homeZone}, or still have requests in flight there. */
  public boolean holdsTargetsOf(String owningZone) {
    return planner.holdsTargetsOf(owningZone);
  }

  /** A new view where something changed since the last one. */
  public Optional<RelayedView> tick() {
    members.tick();
    if (hasView && time.nanos() - lastViewNanos < MIN_VIEW_INTERVAL_NANOS) {
      return Optional.empty();
    }
    long number = lastView.number() + 1;
    ZoneView next =
        new ZoneView(zone, number, members.liveMembers(), planner.holdings(number, totalSlots));
    List<RelayedView.Withheld> withheld = planner.withheld();
    boolean same =
        hasView
            && next.members().equals(lastView.members())
            && next.holdings().equals(lastView.holdings())
            && withheld.equals(lastWithheld);
    if (same) {
      return Optional.empty();
    }
    lastWithheld = withheld;
    hasView = true;
    lastViewNanos = time.nanos();
    lastView = next;
    return Optional.of(new RelayedView(next, relay, withheld));
  }

  /** Whether the counter in the view number is used up, so that the duty must be claimed anew. */
  public boolean isCounterExhausted() {
    return (lastView.number() & ((1L << COUNTER_BITS) - 1)) == (1L << COUNTER_BITS) - 2;
  }

  /** Fraction of the zone's members that are heard, 0 to 1. */
  public double liveFraction() {
    return members.liveFraction();
  }

  /** What the zone's gates did lately, added up for each service. */
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
