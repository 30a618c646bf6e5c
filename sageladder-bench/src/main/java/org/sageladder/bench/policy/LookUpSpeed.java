package org.sageladder.bench.policy;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.steering.LookUpTable;
import org.sageladder.core.steering.SteeringInputs;

/**
 * Measures look-ups and rebuilds of the table of one customer with 180,000 client blocks, 27
 * regions, 94 zones and 37 services.
 */
public final class LookUpSpeed {
  private static final int BLOCKS = 180_000;
  private static final int REGIONS = 27;
  private static final int ZONES = 94;
  private static final int SERVICES = 37;
  private static final int LOOK_UPS = 20_000_000;

  private LookUpSpeed() {}

  /** Runs the measurement on one thread. */
  public static void main(String[] arguments) {
    Contract contract = contract();
    ClusterState state = new ClusterState(Map.of("c", contract), views(contract, -1), List.of());
    LookUpTable table = LookUpTable.build(state, SteeringInputs.at(0));
    for (int i = 0; i < 3; i++) {
      nanosPerLookUp(table, LOOK_UPS / 4);
    }
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long before = threads.getCurrentThreadAllocatedBytes();
    double nanos = nanosPerLookUp(table, LOOK_UPS);
    double bytes = (double) (threads.getCurrentThreadAllocatedBytes() - before) / LOOK_UPS;
    ResultPrinter.printLine(
        "%d look-ups: %.1f ns each, %.3f bytes allocated each", LOOK_UPS, nanos, bytes);
    ResultPrinter.printLine("  first build %.0f ms", minBuildMillis(state, SteeringInputs.at(0)));
    ResultPrinter.printLine(
        "  rebuild, nothing changed %.0f ms",
        minBuildMillis(state, SteeringInputs.after(table, 0)));
    ClusterState withoutOneZone =
        new ClusterState(Map.of("c", contract), views(contract, 5), List.of());
    ResultPrinter.printLine(
        "  rebuild, one zone lost %.0f ms",
        minBuildMillis(withoutOneZone, SteeringInputs.after(table, 0)));
    ClusterState revised =
        new ClusterState(Map.of("c", contract.atRevision(2)), views(contract, -1), List.of());
    ResultPrinter.printLine(
        "  rebuild, contract revised %.0f ms",
        minBuildMillis(revised, SteeringInputs.after(table, 0)));
    double perSecond = 1e9 / nanos;
    ResultPrinter.printResultAndExit(
        perSecond >= 1e6 && bytes < 1,
        "lookup: %.1f M look-ups/s on one core (aim >= 1 M/s, no allocation)",
        perSecond / 1e6);
  }

  private static double minBuildMillis(ClusterState state, SteeringInputs inputs) {
    long minNanos = Long.MAX_VALUE;
    for (int i = 0; i < 5; i++) {
      long startNanos = System.nanoTime();
      LookUpTable built = LookUpTable.build(state, inputs);
      minNanos = Math.min(minNanos, System.nanoTime() - startNanos);
      if (built.lookUp("c", "s0", 1, 1) == null) {
        throw new IllegalStateException("look-up table has no route for block 1 of service s0");
      }
    }
    return minNanos / 1e6;
  }

  private static double nanosPerLookUp(LookUpTable table, int count) {
    SplittableRandom random = new SplittableRandom(1);
    String[] names = new String[SERVICES];
    for (int i = 0; i < SERVICES; i++) {
      names[i] = "s" + i;
    }
    long foundCount = 0;
    long startNanos = System.nanoTime();
    for (int i = 0; i < count; i++) {
      long bits = random.nextLong();
      int block = (int) ((bits >>> 8) % BLOCKS);
      foundCount += table.lookUp("c", names[i % SERVICES], block, bits) == null ? 0 : 1;
    }
    long nanos = System.nanoTime() - startNanos;
    if (foundCount != count) {
      throw new IllegalStateException(count - foundCount + " look-ups found no route");
    }
    return (double) nanos / count;
  }

  private static Contract contract() {
    List<Contract.Region> regions = new ArrayList<>();
    List<Contract.ClientBlocks> blocks = new ArrayList<>();
    int perRegion = BLOCKS / REGIONS + 1;
    for (int region = 0; region < REGIONS; region++) {
      List<String> zones = new ArrayList<>();
      for (int zone = region; zone < ZONES; zone += REGIONS) {
        zones.add("z" + zone);
      }
      regions.add(new Contract.Region("r" + region, zones));
      blocks.add(
          new Contract.ClientBlocks(
              region * perRegion, (region + 1) * perRegion - 1, "r" + region));
    }
    Contract.ShiftCap cap = new Contract.ShiftCap(0.2, Duration.ofSeconds(10));
    List<Contract.Service> services = new ArrayList<>();
    for (int i = 0; i < SERVICES; i++) {
      Contract.Service template = Setup.typical(1).service();
      services.add(
          new Contract.Service(
              "s" + i,
              template.requestClass(),
              true,
              2 * ZONES,
              3,
              330,
              100,
              8,
              template.queueWait(),
              template.longestDeadline(),
              template.drainLimit(),
              0.1,
              cap,
              cap));
    }
    return new Contract(
        "c", 1, regions, new Contract.Delays(1, 20, 1), blocks, List.of(), services);
  }

  private static Map<String, ZoneView> views(Contract contract, int lostZone) {
    Map<String, ZoneView> views = new HashMap<>();
    for (String zone : contract.zones()) {
      if (zone.equals("z" + lostZone)) {
        continue;
      }
      List<Member> members = new ArrayList<>();
      List<Holding> holdings = new ArrayList<>();
      for (int vm = 0; vm < 2; vm++) {
        String name = zone + "v" + vm;
        members.add(new Member(name, zone, 1, "127.0.0.1", 1, 2, false));
        for (int s = 0; s < SERVICES; s++) {
          String target = name + "t" + s;
          holdings.add(new Holding(target, "c", "s" + s, "127.0.0.1", 3, 1, name, 3, false));
        }
      }
      views.put(zone, new ZoneView(zone, 1, members, holdings));
    }
    return views;
  }
}
