package org.sageladder.entry.control;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.RelayedView;
import org.sageladder.core.membership.Rendezvous;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.membership.ZoneViewBuilder;
import org.sageladder.core.spread.Item;
import org.sageladder.core.spread.ItemKey;
import org.sageladder.core.spread.ItemKind;
import org.sageladder.core.spread.VersionedTable;
import org.sageladder.core.time.TimeSource;
import org.sageladder.protocol.MembershipCodec;

/**
 * Lets one zone of a region use the targets of another zone whose entry VMs have all failed.
 *
 * <p>A silent zone has either failed or is partitioned from this one. If one of its targets answers
 * a probe and is idle, the zone is assumed to have failed: in a partition the target would be
 * unreachable, and if the zone still served requests, the target would be busy sooner or later. As
 * this conclusion may be wrong, only half of the target's slots are used, and its own zone uses no
 * more than the other half until it has received notice that they were given back. So no target is
 * overloaded.
 *
 * <p>A take-over is published as a replicated item, so that the next relay of either zone has it.
 * Runs on the zone's relay; not thread-safe.
 */
final class ZoneTakeOver {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String KEY_PREFIX = "taken-over/";
  private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

  /** Maximum time until a zone that was paused or partitioned learns that its targets are lent. */
  private static final Duration LOAN_PROPAGATION_DELAY = Duration.ofSeconds(4);

  private final ControlIdentity identity;
  private final TimeSource time;
  private final ReplicatedState replicatedState;
  private final VersionedTable table;
  private final TargetProbe probe;
  private final Consumer<Item> publisher;
  private final EventSink events;
  private final Map<String, Set<String>> idleTargetsByZone = new HashMap<>();
  private long nextProbeNanos;
  private long assumeLentUntilNanos;
  private boolean hadRegionContact;

  ZoneTakeOver(
      ControlIdentity identity,
      TimeSource time,
      ReplicatedState replicatedState,
      VersionedTable table,
      TargetProbe probe,
      Consumer<Item> publisher,
      EventSink events) {
    this.identity = identity;
    this.time = time;
    this.replicatedState = replicatedState;
    this.table = table;
    this.probe = probe;
    this.publisher = publisher;
    this.events = events;
    this.nextProbeNanos = time.nanos();
    this.assumeLentUntilNanos = time.nanos();
    assumeLent();
  }

  static boolean isTakeOver(ItemKey key) {
    return key.kind() == ItemKind.VIEW && key.name().startsWith(KEY_PREFIX);
  }

  /**
   * Treats all targets of the own zone as lent for a while. Called after a start, a pause or a
   * partition, when another zone may have taken them over.
   */
  void assumeLent() {
    assumeLentUntilNanos = time.nanos() + LOAN_PROPAGATION_DELAY.toNanos();
  }

  /**
   * Whether another zone may be using half of the slots of {@code target}, a target of the own
   * zone.
   */
  boolean isLent(String target) {
    if (replicatedState.otherZonesOfRegion().isEmpty()) {
      return false;
    }
    boolean isTakenOver =
        replicatedState.takeOver(identity.zone()).stream()
            .flatMap(view -> view.view().holdings().stream())
            .anyMatch(holding -> holding.target().equals(target));
    return isTakenOver || time.nanos() - assumeLentUntilNanos < 0;
  }

  /** Performs one round of probes, take-overs and returns; called on each tick of the relay. */
  void tick(ZoneViewBuilder builder) {
    List<String> otherZones = replicatedState.otherZonesOfRegion();
    updateContact(otherZones);
    boolean isProbeDue = time.nanos() - nextProbeNanos >= 0;
    if (isProbeDue) {
      nextProbeNanos = time.nanos() + PROBE_INTERVAL.toNanos();
    }
    for (String zone : otherZones) {
      if (replicatedState.isSilent(zone)) {
        handleSilentZone(zone, otherZones, builder, isProbeDue);
      } else {
        idleTargetsByZone.remove(zone);
        giveBack(zone, builder);
      }
    }
  }

  /** Detects the end of a partition, when items of the other side may not have arrived yet. */
  private void updateContact(List<String> otherZones) {
    boolean hasContact = replicatedState.isAnyLive(otherZones);
    if (hasContact && !hadRegionContact) {
      assumeLent();
    }
    hadRegionContact = hasContact;
  }

  private void handleSilentZone(
      String zone, List<String> otherZones, ZoneViewBuilder builder, boolean isProbeDue) {
    Optional<RelayedView> takeOver = currentTakeOver(zone);
    if (takeOver.isPresent() && takeOver.get().relay().equals(identity.zone())) {
      builder.takeOver(zone, takeOver.get().view().holdings());
      return;
    }
    builder.giveBack(zone);
    boolean isTakenByOther =
        takeOver.isPresent() && !replicatedState.isSilent(takeOver.get().relay());
    if (isTakenByOther || !successorZone(zone, otherZones).equals(identity.zone())) {
      idleTargetsByZone.remove(zone);
      return;
    }
    if (isProbeDue) {
      takeOverIdleTargets(zone, builder);
      probeTargets(zone);
    }
  }

  private Optional<RelayedView> currentTakeOver(String zone) {
    return replicatedState.takeOver(zone).filter(view -> !view.view().holdings().isEmpty());
  }

  /**
   * The zone that takes over from {@code zone}; all zones of the region that reach each other
   * choose the same one.
   */
  private String successorZone(String zone, List<String> otherZones) {
    List<String> candidates = new ArrayList<>(List.of(identity.zone()));
    for (String otherZone : otherZones) {
      boolean isLive =
          replicatedState
                  .view(otherZone)
                  .map(view -> !view.view().members().isEmpty())
                  .orElse(false)
              && !replicatedState.isSilent(otherZone);
      if (isLive) {
        candidates.add(otherZone);
      }
    }
    return Rendezvous.choose(zone, candidates).orElse(identity.zone());
  }

  private void probeTargets(String zone) {
    Set<String> idleTargets = new TreeSet<>();
    idleTargetsByZone.put(zone, idleTargets);
    for (Holding holding : lastHoldings(zone)) {
      if (!holding.isDraining()) {
        probe.probe(holding, isIdle -> recordAnswer(isIdle, holding, idleTargets));
      }
    }
  }

  private static void recordAnswer(boolean isIdle, Holding holding, Set<String> idleTargets) {
    if (isIdle) {
      idleTargets.add(holding.target());
    }
  }

  /** Takes over the targets that answered the last round of probes as idle. */
  private void takeOverIdleTargets(String zone, ZoneViewBuilder builder) {
    Set<String> idleTargets = idleTargetsByZone.getOrDefault(zone, Set.of());
    List<Holding> idleHoldings =
        lastHoldings(zone).stream()
            .filter(holding -> idleTargets.contains(holding.target()))
            .toList();
    if (idleHoldings.isEmpty()) {
      return;
    }
    publishTakeOver(zone, idleHoldings);
    builder.takeOver(zone, idleHoldings);
    logger.atWarning().log(
        "zone %s is silent but %d of its targets are idle: using half of their slots",
        zone, idleHoldings.size());
    events.record(
        EventKind.VIEW_CHANGED,
        "",
        identity.customer(),
        zone,
        0,
        "taken over by " + identity.zone() + ", targets " + idleHoldings.size());
  }

  private List<Holding> lastHoldings(String zone) {
    return replicatedState.view(zone).map(view -> view.view().holdings()).orElse(List.of());
  }

  private void giveBack(String zone, ZoneViewBuilder builder) {
    builder.giveBack(zone);
    Optional<RelayedView> takeOver = currentTakeOver(zone);
    boolean isOwnTakeOver = takeOver.isPresent() && takeOver.get().relay().equals(identity.zone());
    if (isOwnTakeOver && !builder.holdsTargetsOf(zone)) {
      publishTakeOver(zone, List.of());
      logger.atInfo().log("zone %s is live again; the slots of its targets were given back", zone);
    }
  }

  private void publishTakeOver(String zone, List<Holding> holdings) {
    ItemKey key = new ItemKey(ItemKind.VIEW, KEY_PREFIX + zone);
    long version = Math.max(time.wallMillis(), table.version(key) + 1);
    ZoneView view = new ZoneView(zone, version, List.of(), holdings);
    byte[] payload = MembershipCodec.encode(new RelayedView(view, identity.zone(), List.of()));
    publisher.accept(Item.of(ItemKind.VIEW, key.name(), version, payload));
  }
}
