package org.sageladder.bench.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.Contract.ClientBlocks;
import org.sageladder.core.contract.Contract.Delays;
import org.sageladder.core.contract.Contract.Region;
import org.sageladder.core.contract.Contract.Service;
import org.sageladder.core.contract.Contract.ShiftCap;
import org.sageladder.core.contract.RequestClass;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.membership.ZoneView;

/**
 * State of one customer with any number of zones, with as many entry VMs, targets and blocks per
 * zone as at the target size.
 */
final class TargetSize {
  static final int ENTRY_VMS = 2_500;
  static final int CLIENT_BLOCKS = 180_000;
  static final int TARGETS = 3_700;
  static final int REGIONS = 27;
  static final int ZONES = 94;
  static final double LOOK_UPS_PER_SECOND = 9.5e6;
  static final double CHANGES_PER_DAY = 12_000;
  static final double RESTARTS_PER_DAY = 360;
  static final double SECONDS_PER_DAY = 86_400;

  static final String CUSTOMER = "customer";
  static final String SERVICE = "service-1";

  private static final int SERVICE_COUNT = 3;
  private static final ShiftCap SHIFT_CAP = new ShiftCap(0.3, Duration.ofSeconds(5));

  private TargetSize() {}

  /**
   * A contract with this number of zones and client blocks, with the zones per region of the target
   * size.
   */
  static Contract contract(int zones, int blocks) {
    int regionCount = Math.max(1, Math.round((float) zones * REGIONS / ZONES));
    List<List<String>> names = new ArrayList<>();
    for (int r = 0; r < regionCount; r++) {
      names.add(new ArrayList<>());
    }
    for (int z = 0; z < zones; z++) {
      names.get(z % regionCount).add("zone-" + z);
    }
    List<Region> regions = new ArrayList<>();
    List<ClientBlocks> ranges = new ArrayList<>();
    for (int r = 0; r < regionCount; r++) {
      regions.add(new Region("region-" + r, names.get(r)));
      int first = (int) ((long) blocks * r / regionCount);
      int end = (int) ((long) blocks * (r + 1) / regionCount);
      ranges.add(new ClientBlocks(first, end - 1, "region-" + r));
    }
    List<Service> services = new ArrayList<>();
    for (int s = 1; s <= SERVICE_COUNT; s++) {
      services.add(service("service-" + s, zones * TARGETS / ZONES / SERVICE_COUNT));
    }
    return new Contract(CUSTOMER, 1, regions, new Delays(1, 30, 5), ranges, List.of(), services);
  }

  static Service service(String name, int targets) {
    return new Service(
        name,
        RequestClass.INTERACTIVE,
        true,
        Math.max(1, targets),
        3,
        330,
        20,
        6,
        Duration.ofMillis(500),
        Duration.ofSeconds(5),
        Duration.ofSeconds(10),
        0.1,
        SHIFT_CAP,
        SHIFT_CAP);
  }

  /** The cluster state of a process for all zones of {@code contract}. */
  static ClusterState state(Contract contract, long nowMillis) {
    Map<String, ZoneView> views = new HashMap<>();
    List<ZoneSummary> summaries = new ArrayList<>();
    int membersPerZone = Math.round((float) ENTRY_VMS / ZONES);
    int targetsPerZone = Math.round((float) TARGETS / ZONES);
    for (String zone : contract.zones()) {
      List<Member> members = new ArrayList<>();
      for (int m = 0; m < membersPerZone; m++) {
        members.add(new Member(zone + "-e" + m, zone, 7, "10.0.0." + m, 8_080, 8_081, false));
      }
      List<Holding> holdings = new ArrayList<>();
      for (int t = 0; t < targetsPerZone; t++) {
        holdings.add(
            new Holding(
                zone + "-t" + t,
                CUSTOMER,
                "service-" + (t % SERVICE_COUNT + 1),
                "10.0.1." + t,
                9_000,
                3,
                zone + "-e" + t % membersPerZone,
                3,
                false));
      }
      views.put(zone, new ZoneView(zone, 41, members, holdings));
      for (Service service : contract.services()) {
        summaries.add(
            new ZoneSummary(zone, CUSTOMER, service.name(), nowMillis, 39, 12, 0, 600, 1_900, 600));
      }
    }
    return new ClusterState(Map.of(CUSTOMER, contract), views, summaries);
  }
}
