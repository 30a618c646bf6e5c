package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** How fast the requests of a region may move to others, over all entry VMs. */
class RegionShiftLimiterTest {
  private static final double MOST = 0.15;
  private static final long SPAN_MILLIS = 2_000;
  private static final int SPANS = 20;

  /** One of many VMs: what it would like and what its bound makes of that. */
  private static final class Vm {
    final RegionShiftLimiter bound;
    final double perSecond;
    double nextAt;

    Vm(double most, double perSecond) {
      bound = RegionShiftLimiter.of(most);
      this.perSecond = perSecond;
    }

    String send(String wish, long now) {
      boolean moved = wish.equals("south") && bound.permitsShift(now);
      bound.recordPlaced(moved, now);
      return moved ? "south" : "north";
    }
  }

  /** Requests that all VMs together sent to each region, by span. */
  private static List<Map<String, Integer>> play(double most, int vms, double perSecond) {
    Random random = new Random(11);
    List<Vm> all = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      all.add(new Vm(most, perSecond * (i % 2 == 0 ? 0.5 : 1.5)));
    }
    List<Map<String, Integer>> spans = new ArrayList<>();
    for (int i = 0; i < SPANS; i++) {
      spans.add(new HashMap<>());
    }
    for (Vm vm : all) {
      while (vm.nextAt < SPANS * SPAN_MILLIS) {
        vm.nextAt += -Math.log(1 - random.nextDouble()) * 1_000 / vm.perSecond;
        int span = (int) (vm.nextAt / SPAN_MILLIS);
        // All VMs find within the same moment that their own region is full.
        double south = vm.nextAt < 3 * SPAN_MILLIS ? 0.2 : 0.85;
        String wish = random.nextDouble() < south ? "south" : "north";
        String sent = vm.send(wish, (long) vm.nextAt);
        if (span < SPANS) {
          spans.get(span).merge(sent, 1, Integer::sum);
        }
      }
    }
    return spans;
  }

  private static double south(Map<String, Integer> span) {
    double south = span.getOrDefault("south", 0);
    return south / (south + span.getOrDefault("north", 0));
  }

  private static double largestChange(List<Map<String, Integer>> spans) {
    double largest = 0;
    for (int i = 1; i < spans.size(); i++) {
      largest = Math.max(largest, Math.abs(south(spans.get(i)) - south(spans.get(i - 1))));
    }
    return largest;
  }

  /**
   * Cairo's targets fill up a second after the day has begun, and all of its VMs send abroad at
   * once: a third of its requests change region within two seconds. With the bound in each VM the
   * sum keeps it, whatever the number of VMs and however few requests each has.
   */
  @Test
  void manyVmsTogetherKeepTheBound() {
    for (double perSecond : new double[] {2, 8, 30}) {
      int vms = (int) (600 / perSecond);
      assertTrue(largestChange(play(1, vms, perSecond)) > 0.5);
      double changed = largestChange(play(MOST, vms, perSecond));
      assertTrue(changed < MOST, vms + " VMs: " + changed);
    }
  }

  /** The bound slows a shift; it does not forbid it. */
  @Test
  void theShiftComesAboutInTheEnd() {
    assertTrue(south(play(MOST, 20, 8).get(SPANS - 1)) > 0.75);
  }

  /** The first span is free: nothing moves where nothing ran before. */
  @Test
  void theFirstSpanIsFree() {
    RegionShiftLimiter bound = RegionShiftLimiter.of(MOST);
    for (int i = 0; i < 20; i++) {
      assertTrue(bound.permitsShift(i));
      bound.recordPlaced(i % 2 == 0, i);
    }
  }

  /** A zone is emptied: what it ran must go elsewhere at once. */
  @Test
  void theBoundIsLiftedWhereRoomChanged() {
    RegionShiftLimiter bound = RegionShiftLimiter.of(MOST);
    for (int i = 0; i < 100; i++) {
      bound.recordPlaced(false, 50L * i);
    }
    bound.recordPlaced(true, 5_000);
    bound.recordPlaced(true, 5_000);
    assertFalse(bound.permitsShift(5_001));
    bound.suspendUntil(9_000);
    assertTrue(bound.permitsShift(5_001));
    assertFalse(bound.permitsShift(9_000));
  }

  /** Once a few have moved, the next request stays in its region though others have more room. */
  @Test
  void aRequestStaysWhereTheOtherRegionMayNotGrow() {
    assertEquals("south", regionOfNextOnceNearIsFull(1));
    assertEquals("north", regionOfNextOnceNearIsFull(MOST));
  }

  private static String regionOfNextOnceNearIsFull(double most) {
    PlacementFixture fixture = new PlacementFixture("north", most).withFour();
    for (int i = 0; i < 60; i++) {
      fixture.now += 100;
      var send = fixture.send(i);
      fixture.placement.recordSent(send, fixture.now);
      send.target().endRequest();
    }
    fixture.now += 100;
    for (String near : List.of("n-1", "n-2")) {
      for (int i = 0; i < 6; i++) {
        fixture.targets.find(near).orElseThrow().startRequest();
      }
    }
    fixture.send(7);
    fixture.send(7);
    return fixture.send(7).target().facts().region();
  }
}
