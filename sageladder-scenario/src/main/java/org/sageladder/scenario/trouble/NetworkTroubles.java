package org.sageladder.scenario.trouble;

import java.util.Map;
import java.util.Random;
import java.util.function.BiPredicate;
import org.sageladder.scenario.Fleet;
import org.sageladder.scenario.FleetEntry;
import org.sageladder.standin.network.SimulatedHost;
import org.sageladder.standin.network.SimulatedNetwork.Partition;

/** What happens to the network. */
final class NetworkTroubles {
  private static final int SHORTEST_CUT = 2_000;
  private static final int LONGEST_CUT = 8_000;
  private static final long LOSSY_MILLIS = 6_000;
  private static final double LOST = 0.05;
  private static final double SPOILT = 0.5;
  private static final int SPOILT_ENTRIES = 2;

  private NetworkTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("entry-cut-from-store", NetworkTroubles::cutFromStore);
    all.put("zone-cut", NetworkTroubles::cutZone);
    all.put("one-way", NetworkTroubles::oneWay);
    all.put("lossy", NetworkTroubles::lossy);
    all.put("connections-reset", (fleet, random) -> spoil(fleet, random, false));
    all.put("connections-silent", (fleet, random) -> spoil(fleet, random, true));
  }

  private static void cutFromStore(Fleet fleet, Random random) {
    FleetEntry entry = Troubles.pickOne(fleet, random);
    long millis = Troubles.between(random, SHORTEST_CUT, LONGEST_CUT);
    Troubles.noteAt(fleet, entry, millis);
    SimulatedHost store = fleet.storeHost();
    cut(
        fleet,
        millis,
        (from, to) ->
            (from == entry.host() && to == store) || (from == store && to == entry.host()));
  }

  /** A zone and all others cannot reach each other; its callers reach its entry VMs. */
  private static void cutZone(Fleet fleet, Random random) {
    String zone = Troubles.pickOne(fleet, random).host().zone();
    long millis = Troubles.between(random, SHORTEST_CUT, LONGEST_CUT);
    Troubles.noteEverywhere(fleet, millis);
    cut(fleet, millis, (from, to) -> from.zone().equals(zone) != to.zone().equals(zone));
  }

  /** Nothing gets out of a zone; what is sent to it arrives. */
  private static void oneWay(Fleet fleet, Random random) {
    String zone = Troubles.pickOne(fleet, random).host().zone();
    long millis = Troubles.between(random, SHORTEST_CUT, LONGEST_CUT);
    Troubles.noteEverywhere(fleet, millis);
    cut(fleet, millis, (from, to) -> from.zone().equals(zone) && !to.zone().equals(zone));
  }

  private static void cut(
      Fleet fleet, long millis, BiPredicate<SimulatedHost, SimulatedHost> blocks) {
    Partition cut = fleet.network().partition(blocks);
    fleet.after(millis, cut::close);
  }

  private static void lossy(Fleet fleet, Random random) {
    Troubles.noteEverywhere(fleet, LOSSY_MILLIS);
    fleet.network().setLossFraction(LOST);
    fleet.after(LOSSY_MILLIS, () -> fleet.network().setLossFraction(0));
  }

  private static void spoil(Fleet fleet, Random random, boolean silent) {
    Troubles.noteEverywhere(fleet, 0);
    for (FleetEntry entry : Troubles.pick(fleet, random, SPOILT_ENTRIES)) {
      fleet.network().disruptConnections(entry.host(), SPOILT, silent);
    }
  }
}
