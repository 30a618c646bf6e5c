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

/** Tests how fast requests of a region move to other regions, over all entry VMs. */
class RegionShiftLimiterTest {
  private static final double MAX_SHIFT_FRACTION = 0.15;
  private static final long SPAN_MILLIS = 2_000;
  private static final int SPAN_COUNT = 20;

  /** One of many VMs, with its limiter. */
  private static final class Vm {
    final RegionShiftLimiter limiter;
    final double requestsPerSecond;
    double nextAtMillis;

    Vm(double maxShiftFraction, double requestsPerSecond) {
      limiter = RegionShiftLimiter.of(maxShiftFraction);
      this.requestsPerSecond = requestsPerSecond;
    }

    String send(String wantedRegion, long now) {
      boolean isShifted = wantedRegion.equals("south") && limiter.permitsShift(now);
      limiter.recordPlaced(isShifted, now);
      return isShifted ? "south" : "north";
    }
  }

  /** Returns the requests that all VMs together sent to each region, by span. */
  private static List<Map<String, Integer>> simulate(
      double maxShiftFraction, int vmCount, double requestsPerSecond) {
    Random random = new Random(11);
    List<Vm> all = new ArrayList<>();
    for (int i = 0; i < vmCount; i++) {
      all.add(new Vm(maxShiftFraction, requestsPerSecond * (i % 2 == 0 ? 0.5 : 1.5)));
    }
    List<Map<String, Integer>> spans = new ArrayList<>();
    for (int i = 0; i < SPAN_COUNT; i++) {
      spans.add(new HashMap<>());
    }
    for (Vm vm : all) {
      while (vm.nextAtMillis < SPAN_COUNT * SPAN_MILLIS) {
        vm.nextAtMillis += -Math.log(1 - random.nextDouble()) * 1_000 / vm.requestsPerSecond;
        int span = (int) (vm.nextAtMillis / SPAN_MILLIS);
        // All VMs detect at the same moment that their own region is full.
        double south = vm.nextAtMillis < 3 * SPAN_MILLIS ? 0.2 : 0.85;
        String wantedRegion = random.nextDouble() < south ? "south" : "north";
        String actualRegion = vm.send(wantedRegion, (long) vm.nextAtMillis);
        if (span < SPAN_COUNT) {
          spans.get(span).merge(actualRegion, 1, Integer::sum);
        }
      }
    }
    return spans;
  }

  private static double southShare(Map<String, Integer> span) {
    double south = span.getOrDefault("south", 0);
    return south / (south + span.getOrDefault("north", 0));
  }

  private static double largestChange(List<Map<String, Integer>> spans) {
    double largest = 0;
    for (int i = 1; i < spans.size(); i++) {
      largest =
          Math.max(largest, Math.abs(southShare(spans.get(i)) - southShare(spans.get(i - 1))));
    }
    return largest;
  }

  /**
   * The targets of one region fill up a second after the day has begun, and all of its VMs send to
   * other regions at once: a third of its requests change region within two seconds. With the limit
   * in each VM the sum must stay within it, whatever the number of VMs and however few requests
   * each has.
   */
  @Test
  void combinedShiftOfManyVmsStaysWithinLimit() {
    for (double perSecond : new double[] {2, 8, 30}) {
      int vmCount = (int) (600 / perSecond);
      assertTrue(largestChange(simulate(1, vmCount, perSecond)) > 0.5);
      double changed = largestChange(simulate(MAX_SHIFT_FRACTION, vmCount, perSecond));
      assertTrue(changed < MAX_SHIFT_FRACTION, vmCount + " VMs: " + changed);
    }
  }

  /** The limit slows a shift; it does not prevent it. */
  @Test
  void limitedShiftEventuallyCompletes() {
    assertTrue(southShare(simulate(MAX_SHIFT_FRACTION, 20, 8).get(SPAN_COUNT - 1)) > 0.75);
  }

  /** The first span is not limited: nothing can move before anything has run. */
  @Test
  void firstSpanIsNotLimited() {
    RegionShiftLimiter limiter = RegionShiftLimiter.of(MAX_SHIFT_FRACTION);
    for (int i = 0; i < 20; i++) {
      assertTrue(limiter.permitsShift(i));
      limiter.recordPlaced(i % 2 == 0, i);
    }
  }

  /** When a zone is evacuated, its requests must go to other regions at once. */
  @Test
  void limitIsSuspendedAfterCapacityChange() {
    RegionShiftLimiter limiter = RegionShiftLimiter.of(MAX_SHIFT_FRACTION);
    for (int i = 0; i < 100; i++) {
      limiter.recordPlaced(false, 50L * i);
    }
    limiter.recordPlaced(true, 5_000);
    limiter.recordPlaced(true, 5_000);
    assertFalse(limiter.permitsShift(5_001));
    limiter.suspendUntil(9_000);
    assertTrue(limiter.permitsShift(5_001));
    assertFalse(limiter.permitsShift(9_000));
  }

  /**
   * Once a few requests have moved, the next stays in its region although other regions have more
   * free slots.
   */
  @Test
  void requestStaysInRegionOnceShiftLimitIsReached() {
    assertEquals("south", regionOfNextRequestOnceNearTargetsAreFull(1));
    assertEquals("north", regionOfNextRequestOnceNearTargetsAreFull(MAX_SHIFT_FRACTION));
  }

  private static String regionOfNextRequestOnceNearTargetsAreFull(double maxShiftFraction) {
    PlacementFixture fixture = new PlacementFixture("north", maxShiftFraction).withFourTargets();
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
