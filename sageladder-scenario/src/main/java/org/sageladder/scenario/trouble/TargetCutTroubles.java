package org.sageladder.scenario.trouble;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import org.sageladder.scenario.Fleet;
import org.sageladder.scenario.FleetEntry;
import org.sageladder.scenario.SimulatedDay.TargetCut;
import org.sageladder.standin.network.SimulatedHost;
import org.sageladder.standin.network.SimulatedNetwork;

/** Troubles of entry VMs that reach no target, while all others reach them. */
final class TargetCutTroubles {
  private static final int MIN_CUT_MILLIS = 8_000;
  private static final int MAX_CUT_MILLIS = 14_000;
  private static final long FLAP_MILLIS = 1_000;

  /** What the cut does to connections. */
  private enum Effect {
    /** Open and new connections hang. */
    SILENT,
    /** Open connections are reset, new ones hang. */
    RESET,
    /** Open connections live on, new ones are refused. */
    REFUSE_NEW,
    /** What the VMs send is lost; what targets send arrives. */
    OUTBOUND,
    /** Connections hang every other second. */
    FLAPPING
  }

  private TargetCutTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("targets-cut-one", (fleet, random) -> cutSome(fleet, random, 0, Effect.SILENT));
    all.put("targets-cut-third", (fleet, random) -> cutSome(fleet, random, 1 / 3.0, Effect.SILENT));
    all.put("targets-cut-half", (fleet, random) -> cutSome(fleet, random, 0.5, Effect.SILENT));
    all.put("targets-cut-zone", (fleet, random) -> cutZone(fleet, random, Effect.SILENT));
    all.put("targets-cut-region", TargetCutTroubles::cutRegion);
    all.put("targets-cut-reset", (fleet, random) -> cutSome(fleet, random, 1 / 3.0, Effect.RESET));
    all.put("targets-cut-zone-reset", (fleet, random) -> cutZone(fleet, random, Effect.RESET));
    all.put(
        "targets-cut-refused",
        (fleet, random) -> cutSome(fleet, random, 1 / 3.0, Effect.REFUSE_NEW));
    all.put(
        "targets-cut-outbound",
        (fleet, random) -> cutSome(fleet, random, 1 / 3.0, Effect.OUTBOUND));
    all.put(
        "targets-cut-flapping",
        (fleet, random) -> cutSome(fleet, random, 1 / 3.0, Effect.FLAPPING));
    all.put("targets-cut-restarted", TargetCutTroubles::cutAndKill);
  }

  private static void cutSome(Fleet fleet, Random random, double fraction, Effect effect) {
    int count = (int) Math.max(1, Math.round(fraction * fleet.entries().size()));
    cut(fleet, random, Troubles.pickEntries(fleet, random, count), effect);
  }

  private static void cutZone(Fleet fleet, Random random, Effect effect) {
    String zone = Troubles.pickEntry(fleet, random).host().zone();
    cut(
        fleet,
        random,
        fleet.entries().stream().filter(entry -> entry.host().zone().equals(zone)).toList(),
        effect);
  }

  private static void cutRegion(Fleet fleet, Random random) {
    String region = Troubles.pickEntry(fleet, random).host().region();
    cut(
        fleet,
        random,
        fleet.entries().stream().filter(entry -> entry.host().region().equals(region)).toList(),
        Effect.SILENT);
  }

  /** Restarts VMs behind the cut, so that they have never reached a target. */
  private static void cutAndKill(Fleet fleet, Random random) {
    List<FleetEntry> entries = Troubles.pickEntries(fleet, random, fleet.entries().size() / 3);
    cut(fleet, random, entries, Effect.SILENT);
    for (FleetEntry entry : entries) {
      Troubles.recordAt(fleet, entry, 0);
      entry.kill();
    }
  }

  private static void cut(Fleet fleet, Random random, List<FleetEntry> entries, Effect effect) {
    long millis = Troubles.randomMillis(random, MIN_CUT_MILLIS, MAX_CUT_MILLIS);
    Set<SimulatedHost> hosts =
        entries.stream().map(FleetEntry::host).collect(Collectors.toUnmodifiableSet());
    Set<SimulatedHost> targets = fleet.targetHosts();
    BiPredicate<SimulatedHost, SimulatedHost> outbound =
        (from, to) -> hosts.contains(from) && targets.contains(to);
    BiPredicate<SimulatedHost, SimulatedHost> eitherWay =
        (from, to) -> outbound.test(from, to) || outbound.test(to, from);
    SimulatedNetwork network = fleet.network();
    switch (effect) {
      case SILENT -> fleet.runAfter(millis, network.partition(eitherWay)::close);
      case RESET -> {
        network.resetConnections(outbound);
        fleet.runAfter(millis, network.partition(eitherWay)::close);
      }
      case REFUSE_NEW -> fleet.runAfter(millis, network.refuseConnections(outbound)::close);
      case OUTBOUND -> fleet.runAfter(millis, network.partition(outbound)::close);
      default -> flap(fleet, eitherWay, millis);
    }
    Set<String> vms = hosts.stream().map(SimulatedHost::ip).collect(Collectors.toUnmodifiableSet());
    long now = fleet.nowMillis();
    fleet.day().recordTargetCut(new TargetCut(vms, effect != Effect.FLAPPING, now, now + millis));
  }

  private static void flap(
      Fleet fleet, BiPredicate<SimulatedHost, SimulatedHost> blocks, long remainingMillis) {
    if (remainingMillis <= 0) {
      return;
    }
    fleet.runAfter(FLAP_MILLIS, fleet.network().partition(blocks)::close);
    fleet.runAfter(2 * FLAP_MILLIS, () -> flap(fleet, blocks, remainingMillis - 2 * FLAP_MILLIS));
  }
}
