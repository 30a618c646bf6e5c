package org.sageladder.entry.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.RelayedView;
import org.sageladder.core.membership.Rendezvous;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmRole;
import org.sageladder.core.spread.Item;
import org.sageladder.core.spread.Overlay;
import org.sageladder.protocol.PeerAddress;

/** Selects peers from the zone views or, for a zone without a view, from the platform's list. */
final class PeerDirectory {
  private static final int TREE_FAN_OUT = 2;
  private static final int MAX_SPEAKERS = 2;
  private static final int MAX_REMOTE_REPAIR_PEERS = 2;

  private final ControlIdentity identity;
  private final RandomGenerator random;
  private final Map<String, ListedVm> listedVms = new TreeMap<>();

  /** State of the network path to a peer. */
  enum Reachability {
    REACHABLE,
    /** A message or the connection was lost a short time ago. */
    UNREACHABLE,
    /** It was lost longer ago: messages are sent again, but a second path is used as well. */
    RETRYING
  }

  PeerDirectory(ControlIdentity identity, RandomGenerator random) {
    this.identity = identity;
    this.random = random;
  }

  /** Replaces the listed VMs by those of a new list; returns the addresses of the peers in it. */
  List<PeerAddress> onPlatformList(List<ListedVm> vms) {
    listedVms.clear();
    List<PeerAddress> addresses = new ArrayList<>();
    for (ListedVm vm : vms) {
      boolean isPeer =
          vm.role() == VmRole.ENTRY
              && vm.customer().equals(identity.customer())
              && vm.innerPort() > 0
              && !vm.id().equals(identity.vm());
      if (isPeer) {
        listedVms.put(vm.id(), vm);
        addresses.add(new PeerAddress(vm.id(), vm.host(), vm.innerPort()));
      }
    }
    return addresses;
  }

  /** Addresses of the peers that a view names. */
  List<PeerAddress> peerAddresses(RelayedView view) {
    return view.view().members().stream()
        .filter(member -> !member.vm().equals(identity.vm()))
        .map(member -> new PeerAddress(member.vm(), member.host(), member.innerPort()))
        .toList();
  }

  /**
   * Random peers to ask for the initial snapshot: a few VMs of the own zone, and a few among the
   * VMs of other zones and the seeds.
   *
   * @param maxPeers maximum number of VMs of other zones and seeds; for the own zone, one less. The
   *     limit keeps a newly started VM from loading all its peers
   */
  List<String> snapshotPeers(Set<String> seeds, Map<String, RelayedView> views, int maxPeers) {
    List<String> ownZoneVms = new ArrayList<>();
    List<String> otherVms = new ArrayList<>(seeds);
    for (ListedVm vm : listedVms.values()) {
      (vm.zone().equals(identity.zone()) ? ownZoneVms : otherVms).add(vm.id());
    }
    for (RelayedView view : views.values()) {
      for (Member member : view.view().members()) {
        (member.zone().equals(identity.zone()) ? ownZoneVms : otherVms).add(member.vm());
      }
    }
    Set<String> chosen = new LinkedHashSet<>();
    addRandom(ownZoneVms, maxPeers - 1, chosen);
    addRandom(otherVms, maxPeers, chosen);
    chosen.remove(identity.vm());
    return List.copyOf(chosen);
  }

  /** Peers to which this VM forwards new items at once. */
  Set<String> neighbours(Map<String, RelayedView> views, boolean isRelay) {
    Set<String> neighbours = zoneNeighbours(views);
    if (isRelay) {
      for (String zone : Overlay.zoneNeighbours(knownZones(views), identity.zone())) {
        RelayedView view = views.get(zone);
        if (view == null) {
          Rendezvous.choose(identity.zone(), listedVmsIn(zone)).ifPresent(neighbours::add);
        } else {
          neighbours.add(view.relay());
        }
      }
    }
    neighbours.remove(identity.vm());
    return neighbours;
  }

  /**
   * Peers to which this VM forwards a zone's report. Within the zone, reports follow a tree.
   * Between zones, only {@linkplain #speaker speakers} forward them: along a tree rooted at the
   * reporting zone, or directly to all zones of its region.
   *
   * <p>If the speaker of a zone is unreachable, the report goes directly to the zone's children in
   * the tree. Otherwise one failed zone would cut off all zones below it.
   */
  Set<String> summaryRoute(
      Item report,
      Map<String, RelayedView> views,
      @Nullable Contract contract,
      Function<String, Reachability> reachability) {
    RelayedView ownView = views.get(identity.zone());
    if (ownView == null) {
      return Set.of();
    }
    Set<String> route = summaryRouteInZone(report, ownView);
    if (speaker(ownView, report.version()).equals(identity.vm())) {
      addRouteToOtherZones(report, views, contract, reachability, route);
    }
    route.remove(identity.vm());
    return route;
  }

  private Set<String> summaryRouteInZone(Item report, RelayedView ownView) {
    String speaker = speaker(ownView, report.version());
    boolean isOwnReport = ReportKeys.reportingZone(report.key()).equals(identity.zone());
    if (isOwnReport && ownView.relay().equals(identity.vm())) {
      return new HashSet<>(Set.of(speaker));
    }
    List<String> names = ownView.view().members().stream().map(Member::vm).toList();
    Set<String> tree =
        new HashSet<>(
            Overlay.zoneTreeWithLeaf(names, speaker, ownView.relay(), identity.vm(), TREE_FAN_OUT));
    if (isOwnReport) {
      tree.remove(ownView.relay());
    }
    return tree;
  }

  private void addRouteToOtherZones(
      Item report,
      Map<String, RelayedView> views,
      @Nullable Contract contract,
      Function<String, Reachability> reachability,
      Set<String> route) {
    String origin = ReportKeys.reportingZone(report.key());
    if (!ReportKeys.isForRegion(report.key())) {
      addReachableSpeakers(report, identity.zone(), views, reachability, route);
      return;
    }
    if (origin.equals(identity.zone())) {
      for (String zone : zonesOfRegion(origin, contract)) {
        RelayedView view = views.get(zone);
        if (view != null) {
          route.add(speaker(view, report.version()));
        }
      }
    }
  }

  /**
   * The member that exchanges the report of {@code version} with other zones: two members take
   * turns, and the relay is used only if there is no other member.
   *
   * <p>In a large zone the heartbeats of all members use most of the relay's byte budget, so the
   * reports of all zones must not pass through it as well. With a single speaker, a pause of that
   * member would make the zone silent until the next view; with two, only every other report is
   * lost. All VMs derive the same speaker from the zone's view.
   */
  static String speaker(RelayedView view, long version) {
    List<String> speakers =
        view.view().members().stream()
            .filter(member -> !member.isDraining())
            .map(Member::vm)
            .filter(vm -> !vm.equals(view.relay()))
            .limit(MAX_SPEAKERS)
            .toList();
    if (speakers.isEmpty()) {
      return view.relay();
    }
    return speakers.get((int) (version % speakers.size()));
  }

  private static List<String> zonesOfRegion(String zone, @Nullable Contract contract) {
    if (contract == null) {
      return List.of();
    }
    return contract.regions().stream()
        .map(Contract.Region::zones)
        .filter(zones -> zones.contains(zone))
        .findFirst()
        .orElse(List.of());
  }

  private static void addReachableSpeakers(
      Item report,
      String zone,
      Map<String, RelayedView> views,
      Function<String, Reachability> reachability,
      Set<String> route) {
    List<String> zones = List.copyOf(views.keySet());
    for (String child : Overlay.summaryChildren(zones, report.key().name(), zone)) {
      String speaker = speaker(views.get(child), report.version());
      if (reachability.apply(speaker) != Reachability.UNREACHABLE) {
        route.add(speaker);
      }
      if (reachability.apply(speaker) != Reachability.REACHABLE) {
        addReachableSpeakers(report, child, views, reachability, route);
      }
    }
  }

  private Set<String> zoneNeighbours(Map<String, RelayedView> views) {
    Set<String> neighbours = new HashSet<>();
    RelayedView ownView = views.get(identity.zone());
    if (ownView != null) {
      List<String> names = ownView.view().members().stream().map(Member::vm).toList();
      neighbours.addAll(Overlay.zoneTree(names, ownView.relay(), identity.vm(), TREE_FAN_OUT));
    }
    return neighbours;
  }

  /** Peers for anti-entropy repair: all members of the own zone and a few VMs of other zones. */
  List<String> repairPeers(Map<String, RelayedView> views) {
    Set<String> peers = new TreeSet<>(listedVmsIn(identity.zone()));
    RelayedView ownView = views.get(identity.zone());
    if (ownView != null) {
      peers.clear();
      ownView.view().members().forEach(member -> peers.add(member.vm()));
    }
    List<String> otherZoneVms = new ArrayList<>();
    for (String zone : knownZones(views)) {
      if (!zone.equals(identity.zone())) {
        RelayedView view = views.get(zone);
        if (view == null) {
          otherZoneVms.addAll(listedVmsIn(zone));
        } else {
          otherZoneVms.add(view.relay());
        }
      }
    }
    addRandom(otherZoneVms, MAX_REMOTE_REPAIR_PEERS, peers);
    peers.remove(identity.vm());
    return List.copyOf(peers);
  }

  /** Rank of this VM among the candidates to replace a silent relay; 0 is first. */
  int rank(Map<String, RelayedView> views) {
    Set<String> candidates = new TreeSet<>();
    RelayedView ownView = views.get(identity.zone());
    if (ownView == null) {
      candidates.addAll(listedVmsIn(identity.zone()));
    } else {
      for (Member member : ownView.view().members()) {
        if (!member.isDraining() && !member.vm().equals(ownView.relay())) {
          candidates.add(member.vm());
        }
      }
    }
    candidates.add(identity.vm());
    return Rendezvous.rank(identity.zone(), candidates).indexOf(identity.vm());
  }

  private List<String> knownZones(Map<String, RelayedView> views) {
    Set<String> zones = new TreeSet<>(views.keySet());
    zones.add(identity.zone());
    listedVms.values().forEach(vm -> zones.add(vm.zone()));
    return List.copyOf(zones);
  }

  private List<String> listedVmsIn(String zone) {
    return listedVms.values().stream()
        .filter(vm -> vm.zone().equals(zone))
        .map(ListedVm::id)
        .toList();
  }

  private void addRandom(List<String> candidates, int maxCount, Set<String> selected) {
    List<String> remaining = new ArrayList<>(new TreeSet<>(candidates));
    for (int i = 0; i < maxCount && !remaining.isEmpty(); i++) {
      selected.add(remaining.remove(random.nextInt(remaining.size())));
    }
  }
}
