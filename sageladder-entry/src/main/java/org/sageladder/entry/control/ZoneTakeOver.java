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
 * Lets one zone of a region use the targets of another whose entry VMs are all gone.
 *
 * <p>A zone that is not heard is either dead or cut off. A target of it that answers, and works for
 * nobody, tells the two apart: under a cut it is out of reach, and where its own zone still serves,
 * it is busy sooner or later. Even so only half of its slots are used, and its own zone uses no
 * more than the other half until it knows that they were given back; so a wrong guess overloads no
 * target.
 *
 * <p>What is taken over is an item that spreads to all, so that the next relay of either zone
 * knows. Runs in the zone's relay; not thread-safe.
 */
final class ZoneTakeOver {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String PREFIX = "taken-over/";
  private static final Duration BETWEEN_PROBES = Duration.ofSeconds(1);

  /** How long a zone that was away may not know yet that its targets were taken over. */
  private static final Duration UNSURE = Duration.ofSeconds(4);

  private final ControlIdentity identity;
  private final TimeSource time;
  private final KnownState known;
  private final VersionedTable table;
  private final TargetProbe probe;
  private final Consumer<Item> publish;
  private final EventSink events;
  private final Map<String, Set<String>> idle = new HashMap<>();
  private long nextProbeNanos;
  private long unsureUntilNanos;
  private boolean hadContact;

  ZoneTakeOver(
      ControlIdentity identity,
      TimeSource time,
      KnownState known,
      VersionedTable table,
      TargetProbe probe,
      Consumer<Item> publish,
      EventSink events) {
    this.identity = identity;
    this.time = time;
    this.known = known;
    this.table = table;
    this.probe = probe;
    this.publish = publish;
    this.events = events;
    this.nextProbeNanos = time.nanos();
    this.unsureUntilNanos = time.nanos();
    away();
  }

  static boolean isTakeOver(ItemKey key) {
    return key.kind() == ItemKind.VIEW && key.name().startsWith(PREFIX);
  }

  /** This VM has just started or was paused: others may have taken its zone's targets over. */
  void away() {
    unsureUntilNanos = time.nanos() + UNSURE.toNanos();
  }

  /** Whether another zone may be using half of that target of the own zone. */
  boolean lent(String target) {
    if (known.regionMates().isEmpty()) {
      return false;
    }
    boolean taken =
        known.takeOver(identity.zone()).stream()
            .flatMap(view -> view.view().holdings().stream())
            .anyMatch(holding -> holding.target().equals(target));
    return taken || time.nanos() - unsureUntilNanos < 0;
  }

  /** One round of the relay. */
  void tick(ZoneViewBuilder maker) {
    List<String> mates = known.regionMates();
    noteContact(mates);
    boolean probing = time.nanos() - nextProbeNanos >= 0;
    if (probing) {
      nextProbeNanos = time.nanos() + BETWEEN_PROBES.toNanos();
    }
    for (String zone : mates) {
      if (known.isSilent(zone)) {
        silent(zone, mates, maker, probing);
      } else {
        idle.remove(zone);
        giveBack(zone, maker);
      }
    }
  }

  /** After a cut both sides may have gone on for long; the other one's items are on their way. */
  private void noteContact(List<String> mates) {
    boolean contact = known.hearsAny(mates);
    if (contact && !hadContact) {
      away();
    }
    hadContact = contact;
  }

  private void silent(String zone, List<String> mates, ZoneViewBuilder maker, boolean probing) {
    Optional<RelayedView> taken = active(zone);
    if (taken.isPresent() && taken.get().relay().equals(identity.zone())) {
      maker.takeOver(zone, taken.get().view().holdings());
      return;
    }
    maker.giveBack(zone);
    boolean byOther = taken.isPresent() && !known.isSilent(taken.get().relay());
    if (byOther || !successor(zone, mates).equals(identity.zone())) {
      idle.remove(zone);
      return;
    }
    if (probing) {
      takeIdle(zone, maker);
      ask(zone);
    }
  }

  private Optional<RelayedView> active(String zone) {
    return known.takeOver(zone).filter(view -> !view.view().holdings().isEmpty());
  }

  /** The zone that serves for {@code zone}: all zones of the region that hear each other agree. */
  private String successor(String zone, List<String> mates) {
    List<String> candidates = new ArrayList<>(List.of(identity.zone()));
    for (String mate : mates) {
      boolean lives =
          known.view(mate).map(view -> !view.view().members().isEmpty()).orElse(false)
              && !known.isSilent(mate);
      if (lives) {
        candidates.add(mate);
      }
    }
    return Rendezvous.choose(zone, candidates).orElse(identity.zone());
  }

  private void ask(String zone) {
    Set<String> answered = new TreeSet<>();
    idle.put(zone, answered);
    for (Holding holding : homeHoldings(zone)) {
      if (!holding.isDraining()) {
        probe.ask(holding, nobody -> note(nobody, holding, answered));
      }
    }
  }

  private static void note(boolean nobody, Holding holding, Set<String> answered) {
    if (nobody) {
      answered.add(holding.target());
    }
  }

  /** Takes what answered to the last round of probes. */
  private void takeIdle(String zone, ZoneViewBuilder maker) {
    Set<String> answered = idle.getOrDefault(zone, Set.of());
    List<Holding> taken =
        homeHoldings(zone).stream().filter(holding -> answered.contains(holding.target())).toList();
    if (taken.isEmpty()) {
      return;
    }
    announce(zone, taken);
    maker.takeOver(zone, taken);
    logger.atWarning().log(
        "zone %s is silent while %d of its targets answer: using half of their slots",
        zone, taken.size());
    events.record(
        EventKind.VIEW_CHANGED,
        "",
        identity.customer(),
        zone,
        0,
        "taken over by " + identity.zone() + ", targets " + taken.size());
  }

  private List<Holding> homeHoldings(String zone) {
    return known.view(zone).map(view -> view.view().holdings()).orElse(List.of());
  }

  private void giveBack(String zone, ZoneViewBuilder maker) {
    maker.giveBack(zone);
    Optional<RelayedView> taken = active(zone);
    boolean mine = taken.isPresent() && taken.get().relay().equals(identity.zone());
    if (mine && !maker.holdsTargetsOf(zone)) {
      announce(zone, List.of());
      logger.atInfo().log("zone %s is back and has its targets' slots again", zone);
    }
  }

  private void announce(String zone, List<Holding> holdings) {
    ItemKey key = new ItemKey(ItemKind.VIEW, PREFIX + zone);
    long version = Math.max(time.wallMillis(), table.version(key) + 1);
    ZoneView view = new ZoneView(zone, version, List.of(), holdings);
    byte[] payload = MembershipCodec.encode(new RelayedView(view, identity.zone(), List.of()));
    publish.accept(Item.of(ItemKind.VIEW, key.name(), version, payload));
  }
}
