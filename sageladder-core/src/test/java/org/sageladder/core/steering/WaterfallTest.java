package org.sageladder.core.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.core.contract.Contract;

class WaterfallTest {
  private static final double TOLERANCE = 1e-6;

  @Test
  void demandWithinCapacityStaysLocal() {
    double[][] fractions = Waterfall.divide(contract(List.of()), zones(ReadingAge.FRESH, 50, 50));
    assertEquals(1, localFraction(fractions, 0), TOLERANCE);
    assertEquals(1, localFraction(fractions, 1), TOLERANCE);
  }

  @Test
  void overflowGoesToRegionsWithHeadroom() {
    double[][] fractions = Waterfall.divide(contract(List.of()), zones(ReadingAge.FRESH, 240, 20));
    assertEquals(0.5, localFraction(fractions, 0), TOLERANCE, "120 of 240 fit in their own region");
    assertEquals(
        0.5, fractions[0][2] + fractions[0][3] + fractions[0][4] + fractions[0][5], TOLERANCE);
    assertEquals(1, localFraction(fractions, 1), TOLERANCE);
  }

  @Test
  void linkLimitCapsOverflow() {
    List<Contract.LinkLimit> links =
        List.of(
            new Contract.LinkLimit("south", "north", 12),
            new Contract.LinkLimit("south", "west", 0));
    double[][] fractions = Waterfall.divide(contract(links), zones(ReadingAge.FRESH, 240, 20));
    assertEquals(12.0 / 240, 1 - localFraction(fractions, 0), TOLERANCE);
  }

  @Test
  void zonesWithStaleReadingsGetNoRemoteCallers() {
    // The links to the other regions are cut and their last readings show idle zones. Overflow sent
    // there would be lost on a dead link instead of waiting in its own region.
    for (ReadingAge age : List.of(ReadingAge.OLD, ReadingAge.ABSENT)) {
      double[][] fractions = Waterfall.divide(contract(List.of()), zones(age, 240, 20));
      assertEquals(1, localFraction(fractions, 0), TOLERANCE, "age " + age);
    }
  }

  @Test
  void regionWithoutCapacitySendsAllCallersToOtherRegions() {
    List<ZoneReading> zones = zones(ReadingAge.FRESH, 100, 20);
    zones.set(0, reading("south1", "south", ReadingAge.FRESH, 0, 100));
    zones.set(1, reading("south2", "south", ReadingAge.FRESH, 0, 0));
    double[][] fractions = Waterfall.divide(contract(List.of()), zones);
    assertEquals(0, localFraction(fractions, 0), TOLERANCE);
    double sum = 0;
    for (double part : fractions[0]) {
      sum += part;
    }
    assertEquals(1, sum, TOLERANCE);
  }

  @Test
  void overflowCountsAsDemandOfTheCallersOwnRegion() {
    // South sends half of its 240 to other regions. If that were counted where it is received,
    // south would seem to have a demand of 120, and steering would alternate between returning all
    // of it and sending it away again.
    double[][] fractions = new double[3][6];
    fractions[0] = new double[] {0.25, 0.25, 0.125, 0.125, 0.125, 0.125};
    fractions[1] = new double[] {0, 0, 0.5, 0.5, 0, 0};
    fractions[2] = new double[] {0, 0, 0, 0, 0.5, 0.5};
    List<ZoneReading> received = zones(ReadingAge.FRESH, 120, 80);
    double[] demand = DemandByOrigin.estimateDemand(contract(List.of()), received, fractions);
    assertEquals(240, demand[0], 1);
    assertEquals(20, demand[1], 1);
    assertTrue(demand[2] >= 19 && demand[2] <= 21);
  }

  private static double localFraction(double[][] fractions, int region) {
    return fractions[region][2 * region] + fractions[region][2 * region + 1];
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
   * Returns two zones in each region that serve 60 per second each; {@code age} is that of the
   * regions after the first.
   */
  private static List<ZoneReading> zones(ReadingAge age, double south, double others) {
    List<ZoneReading> zones = new ArrayList<>();
    for (Contract.Region region : contract(List.of()).regions()) {
      boolean isSouth = region.name().equals("south");
      for (String zone : region.zones()) {
        ReadingAge zoneAge = isSouth ? ReadingAge.FRESH : age;
        zones.add(reading(zone, region.name(), zoneAge, 60 / 0.9, (isSouth ? south : others) / 2));
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
