package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Set;
import org.sageladder.core.placing.ColdTargetLimiter.EntryVmLocation;
import org.sageladder.core.placing.Placement.PlacementRequest;
import org.sageladder.core.placing.PlacementDecision.Send;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceRule;
import org.sageladder.core.routing.ServiceShare;

/** An entry VM in zone {@code n1} of region {@code north}, with targets in two regions. */
final class PlacementFixture {
  static final ServiceRule SERVICE = new ServiceRule("search", 300, 3_000, 3.1);

  final TargetTable targets = TargetTable.create();
  final RoundTripTimes roundTripTimes;
  final RunTimes runTimes;
  final EntryVmRanking entryVms = EntryVmRanking.of("e-1");
  final ColdTargetLimiter coldLimiter = ColdTargetLimiter.of(entryVms, 1.5, 5);
  final TargetRateLimiter rateLimiter = TargetRateLimiter.of(entryVms, () -> 0.5);
  final Placement placement;
  long now = 1_000;

  PlacementFixture() {
    this("north");
  }

  /** An entry VM in zone {@code n1} of that region. */
  PlacementFixture(String region) {
    this(region, 1);
  }

  /** The same, where {@code maxShiftFraction} of its requests may change region within a span. */
  PlacementFixture(String region, double maxShiftFraction) {
    roundTripTimes = RoundTripTimes.from("n1", region);
    RegionShiftLimiter shiftLimiter = RegionShiftLimiter.of(maxShiftFraction);
    runTimes = RunTimes.create(shiftLimiter::settleMillis);
    placement =
        Placement.among(
            targets,
            roundTripTimes,
            runTimes,
            coldLimiter,
            rateLimiter,
            shiftLimiter,
            PlacementWeights.standard());
    entryVms.update(List.of(new EntryVmLocation("e-1", "n1", "north")), 0);
  }

  static TargetFacts target(String id, String zone, String region, long remainingColdMillis) {
    return new TargetFacts(
        new TargetIncarnation(id, 0),
        0,
        "search",
        "10.0.0.1",
        80,
        zone,
        region,
        3,
        false,
        remainingColdMillis);
  }

  PlacementFixture withTarget(String id, String zone, String region) {
    targets.put(target(id, zone, region, 0), now);
    return this;
  }

  PlacementFixture withFourTargets() {
    return withTarget("n-1", "n1", "north")
        .withTarget("n-2", "n2", "north")
        .withTarget("s-1", "s1", "south")
        .withTarget("s-2", "s2", "south");
  }

  static RouteRule route(Set<String> regions) {
    return new RouteRule(
        "r",
        "h",
        "/p/",
        true,
        2_000,
        400,
        1,
        List.of(new ServiceShare("search", 1)),
        2,
        true,
        regions,
        false);
  }

  PlacementDecision place(long object, Set<String> tried, Set<String> regions) {
    return placement.place(
        new PlacementRequest(route(regions), "search", object, 2_000), SERVICE, tried, now);
  }

  Send send(long object) {
    return (Send) place(object, Set.of(), Set.of());
  }

  /**
   * Returns the target that was chosen, also where the request gives way under overload; for tests
   * of the estimates alone.
   */
  static Send chosenTarget(PlacementDecision decision) {
    if (decision instanceof PlacementDecision.Refuse refuse
        && refuse.reason() == PlacementDecision.Reason.OVERLOAD
        && refuse.bestCandidate() != null) {
      return refuse.bestCandidate().send();
    }
    return assertInstanceOf(Send.class, decision);
  }
}
