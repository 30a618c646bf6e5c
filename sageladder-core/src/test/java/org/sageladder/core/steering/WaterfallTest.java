package org.sageladder.core.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.core.contract.Contract;

class WaterfallTest {
  private static final double NEARLY = 1e-6;

  @Test
  void demandThatFitsStaysAtHome() {
    double[][] parts = Waterfall.divide(contract(List.of()), zones(ReadingAge.FRESH, 50, 50));
    assertEquals(1, atHome(parts, 0), NEARLY);
    assertEquals(1, atHome(parts, 1), NEARLY);
  }

  @Test
  void overflowGoesWhereRoomIs() {
    double[][] parts = Waterfall.divide(contract(List.of()), zones(ReadingAge.FRESH, 240, 20));
    assertEquals(0.5, atHome(parts, 0), NEARLY, "120 of 240 fit at home");
    assertEquals(0.5, parts[0][2] + parts[0][3] + parts[0][4] + parts[0][5], NEARLY);
    assertEquals(1, atHome(parts, 1), NEARLY);
  }

  @Test
  void linkLimitBoundsWhatIsSentAway() {
    List<Contract.LinkLimit> links =
        List.of(
            new Contract.LinkLimit("south", "north", 12),
            new Contract.LinkLimit("south", "west", 0));
    double[][] parts = Waterfall.divide(contract(links), zones(ReadingAge.FRESH, 240, 20));
    assertEquals(12.0 / 240, 1 - atHome(parts, 0), NEARLY);
  }

  @Test
  void zonesNotHeardOfDrawNoCallersOfOtherRegions() {
    // The links to the other regions are cut and their last readings say "idle". Sent there, the
    // overflow of the own region would run into a dead link, in place of a wait at home.
    for (ReadingAge age : List.of(ReadingAge.OLD, ReadingAge.ABSENT)) {
      double[][] parts = Waterfall.divide(contract(List.of()), zones(age, 240, 20));
      assertEquals(1, atHome(parts, 0), NEARLY, "age " + age);
    }
  }

  @Test
  void regionWithoutCapacitySendsAllAway() {
    List<ZoneReading> zones = zones(ReadingAge.FRESH, 100, 20);
    zones.set(0, reading("south1", "south", ReadingAge.FRESH, 0, 100));
    zones.set(1, reading("south2", "south", ReadingAge.FRESH, 0, 0));
    double[][] parts = Waterfall.divide(contract(List.of()), zones);
    assertEquals(0, atHome(parts, 0), NEARLY);
    double sum = 0;
    for (double part : parts[0]) {
      sum += part;
    }
    assertEquals(1, sum, NEARLY);
  }

  @Test
  void callersSentAwayCountAsDemandOfTheirOwnRegion() {
    // South sends half of its 240 to the others. Counted where they arrive, south would seem to
    // want 120 and steering would bring all of them home at once, then send them away again.
    double[][] inForce = new double[3][6];
    inForce[0] = new double[] {0.25, 0.25, 0.125, 0.125, 0.125, 0.125};
    inForce[1] = new double[] {0, 0, 0.5, 0.5, 0, 0};
    inForce[2] = new double[] {0, 0, 0, 0, 0.5, 0.5};
    List<ZoneReading> asked = zones(ReadingAge.FRESH, 120, 80);
    double[] demand = DemandByOrigin.estimateDemand(contract(List.of()), asked, inForce);
    assertEquals(240, demand[0], 1);
    assertEquals(20, demand[1], 1);
    assertTrue(demand[2] >= 19 && demand[2] <= 21);
  }

  private static double atHome(double[][] parts, int region) {
    return parts[region][2 * region] + parts[region][2 * region + 1];
  }

  private static Contract contract(List<Contract.LinkLimit> links) {
    Contract base = LookUpTableTest.contract();
    return new Contract(
        base.customer(),
        1,
        base.regions(),
        base.delays(),
        base.clientBlocks(),
        links,
        base.services());
  }

  /**
   * Two zones of 60 a second in each region; {@code age} is that of the regions after the first.
   */
  private static List<ZoneReading> zones(ReadingAge age, double south, double others) {
    List<ZoneReading> zones = new ArrayList<>();
    for (Contract.Region region : contract(List.of()).regions()) {
      boolean isSouth = region.name().equals("south");
      for (String zone : region.zones()) {
        ReadingAge own = isSouth ? ReadingAge.FRESH : age;
        zones.add(reading(zone, region.name(), own, 60 / 0.9, (isSouth ? south : others) / 2));
      }
    }
    return zones;
  }

  private static ZoneReading reading(
      String zone, String region, ReadingAge age, double capacity, double demand) {
    double admitted = Math.min(capacity, demand);
    return new ZoneReading(zone, region, age, capacity, capacity, admitted, demand);
  }
}
