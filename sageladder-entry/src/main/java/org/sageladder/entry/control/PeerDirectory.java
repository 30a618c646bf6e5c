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

/** Which peers there are, from the views and, where there is no view yet, the platform's list. */
final class PeerDirectory {
  private static final int TREE_FAN_OUT = 2;
  private static final int MAX_SPEAKERS = 2;
  private static final int MAX_REMOTE_REPAIR_PEERS = 2;

  private final ControlIdentity identity;
  private final RandomGenerator random;
  private final Map<String, ListedVm> listedVms = new TreeMap<>();

  /** What is known of the way to a peer. */
  enum Reachability {
    REACHABLE,
    /** The last message surely did not arrive, a moment ago. */
    UNREACHABLE,
    /** The same, longer ago: a message may arrive again, but nothing may depend on it. */
    RETRYING
  }

  PeerDirectory(ControlIdentity identity, RandomGenerator random) {
    this.identity = identity;
    this.random = random;
  }

  /** Takes in the platform's list; returns the addresses it tells. */
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

  /** Addresses that a view tells. */
  List<PeerAddress> peerAddresses(RelayedView view) {
    return view.view().members().stream()
        .filter(member -> !member.vm().equals(identity.vm()))
        .map(member -> new PeerAddress(member.vm(), member.host(), member.innerPort()))
        .toList();
  }

  /**
   * Whom to ask for a first snapshot: a few VMs of the own zone, one of another, and seeds.
   *
   * @param maxPeers how many, so that a fresh VM does not load all its peers
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

  /** Who gets new items from this VM at once. */
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
   * Whom a zone's report is handed on to: inside the zone along a tree; between zones, by
   * {@linkplain #speaker speakers} alone, along the tree of the zone that reports, or to all zones
   * of its region.
   *
   * <p>A zone whose speaker cannot be reached is replaced by the zones that it would have served;
   * else one lost zone would cut those behind it off from reports.
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
   * The member that exchanges the report of that version with other zones: two members in turn, and
   * not the relay where there is another.
   *
   * <p>In a large zone the heartbeats of all members take most of the relay's byte budget, so the
   * reports of all zones must not pass it as well. Were it always the same member, its pause would
   * silence the zone until the next view; so only every other report is lost. All VMs find the same
   * member in the zone's view.
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

  /** Whom to compare with at random: all of the own zone, and a few of others. */
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

  /** This VM's place among those that follow a relay that fell silent; 0 is first. */
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
    listedVms.values().forEach(line -> zones.add(line.zone()));
    return List.copyOf(zones);
  }

  private List<String> listedVmsIn(String zone) {
    return listedVms.values().stream()
        .filter(line -> line.zone().equals(zone))
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
