package org.sageladder.scenario.trouble;

import java.util.Map;
import java.util.Random;
import java.util.function.BiPredicate;
import org.sageladder.scenario.Fleet;
import org.sageladder.scenario.FleetEntry;
import org.sageladder.standin.network.SimulatedHost;
import org.sageladder.standin.network.SimulatedNetwork.Partition;

/** Troubles of the network. */
final class NetworkTroubles {
  private static final int MIN_CUT_MILLIS = 2_000;
  private static final int MAX_CUT_MILLIS = 8_000;
  private static final long PACKET_LOSS_MILLIS = 6_000;
  private static final double PACKET_LOSS_FRACTION = 0.05;
  private static final double BROKEN_CONNECTION_FRACTION = 0.5;
  private static final int BROKEN_CONNECTION_VM_COUNT = 2;

  private NetworkTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("entry-cut-from-store", NetworkTroubles::cutFromStore);
    all.put("zone-cut", NetworkTroubles::cutZone);
    all.put("one-way", NetworkTroubles::cutOutbound);
    all.put("lossy", NetworkTroubles::losePackets);
    all.put("connections-reset", (fleet, random) -> breakConnections(fleet, random, false));
    all.put("connections-silent", (fleet, random) -> breakConnections(fleet, random, true));
  }

  private static void cutFromStore(Fleet fleet, Random random) {
    FleetEntry entry = Troubles.pickEntry(fleet, random);
    cutFromStore(fleet, entry, Troubles.randomMillis(random, MIN_CUT_MILLIS, MAX_CUT_MILLIS));
  }

  /** Partitions one entry VM from the store. */
  static void cutFromStore(Fleet fleet, FleetEntry entry, long millis) {
    Troubles.recordAt(fleet, entry, millis);
    SimulatedHost store = fleet.storeHost();
    cut(
        fleet,
        millis,
        (from, to) ->
            (from == entry.host() && to == store) || (from == store && to == entry.host()));
  }

  /**
   * Partitions a zone from all others in both directions; callers of the zone still reach its entry
   * VMs.
   */
  private static void cutZone(Fleet fleet, Random random) {
    String zone = Troubles.pickEntry(fleet, random).host().zone();
    long millis = Troubles.randomMillis(random, MIN_CUT_MILLIS, MAX_CUT_MILLIS);
    Troubles.recordAtAll(fleet, millis);
    cut(fleet, millis, (from, to) -> from.zone().equals(zone) != to.zone().equals(zone));
  }

  /** Drops everything sent out of a zone; what is sent into the zone still arrives. */
  private static void cutOutbound(Fleet fleet, Random random) {
    String zone = Troubles.pickEntry(fleet, random).host().zone();
    long millis = Troubles.randomMillis(random, MIN_CUT_MILLIS, MAX_CUT_MILLIS);
    Troubles.recordAtAll(fleet, millis);
    cut(fleet, millis, (from, to) -> from.zone().equals(zone) && !to.zone().equals(zone));
  }

  private static void cut(
      Fleet fleet, long millis, BiPredicate<SimulatedHost, SimulatedHost> blocks) {
    Partition cut = fleet.network().partition(blocks);
    fleet.runAfter(millis, cut::close);
  }

  private static void losePackets(Fleet fleet, Random random) {
    Troubles.recordAtAll(fleet, PACKET_LOSS_MILLIS);
    fleet.network().setLossFraction(PACKET_LOSS_FRACTION);
    fleet.runAfter(PACKET_LOSS_MILLIS, () -> fleet.network().setLossFraction(0));
  }

  private static void breakConnections(Fleet fleet, Random random, boolean silent) {
    Troubles.recordAtAll(fleet, 0);
    for (FleetEntry entry : Troubles.pickEntries(fleet, random, BROKEN_CONNECTION_VM_COUNT)) {
      fleet.network().disruptConnections(entry.host(), BROKEN_CONNECTION_FRACTION, silent);
    }
  }
}
