package org.sageladder.core.steering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.Member;

/** The routes of one service: for the callers of each region, an array that a look-up indexes. */
final class ServiceTable {
  /**
   * Minimum number of answers in an array, so that the resolution of a zone's fraction is 1/64 or
   * finer.
   */
  static final int MIN_ANSWERS = 64;

  private static final int MAX_ANSWERS = 1024;

  /**
   * Minimum number of answers for each gate, so that gates with equal slots get equal traffic to
   * within about a quarter.
   */
  private static final int ANSWERS_PER_HOLDER = 4;

  private static final int MAX_ENTRIES = 4;

  private final ServiceFacts facts;
  private final double[][] fractions;
  private final RegionIndex regionIndex;
  private final Route[][] answers;

  private ServiceTable(
      ServiceFacts facts, double[][] fractions, RegionIndex regionIndex, Route[][] answers) {
    this.facts = facts;
    this.fractions = fractions;
    this.regionIndex = regionIndex;
    this.answers = answers;
  }

  /** Builds the table, or returns {@code previous} if nothing that it depends on has changed. */
  static ServiceTable build(
      ServiceFacts facts, RegionIndex regionIndex, int ttlMillis, @Nullable ServiceTable previous) {
    double[][] desired = desiredFractions(facts, previous);
    double[][] fractions =
        previous == null
            ? desired
            : Damping.step(previous.facts, previous.fractions, facts, desired);
    if (previous != null && previous.isUpToDate(facts, fractions)) {
      return previous;
    }
    int count = facts.contract().regions().size();
    Route[][] answers = new Route[count][];
    for (int region = 0; region < count; region++) {
      answers[region] = buildAnswers(region, facts, fractions[region], ttlMillis);
    }
    return new ServiceTable(facts, fractions, regionIndex, answers);
  }

  private static double[][] desiredFractions(ServiceFacts facts, @Nullable ServiceTable previous) {
    if (previous == null || previous.facts.zones().size() != facts.zones().size()) {
      return Waterfall.divide(facts.contract(), facts.readings());
    }
    double[] demand =
        DemandByOrigin.estimateDemand(facts.contract(), facts.readings(), previous.fractions);
    return Waterfall.divide(facts.contract(), facts.readings(), demand);
  }

  private boolean isUpToDate(ServiceFacts newFacts, double[][] newFractions) {
    if (!facts.hasSameRoutes(newFacts)) {
      return false;
    }
    for (int region = 0; region < fractions.length; region++) {
      for (int zone = 0; zone < fractions[region].length; zone++) {
        if (Math.abs(fractions[region][zone] - newFractions[region][zone]) > 0.5 / MIN_ANSWERS) {
          return false;
        }
      }
    }
    return true;
  }

  @Nullable Route route(int block, long random) {
    int region = regionIndex.of(block);
    if (region < 0) {
      return null;
    }
    Route[] choices = answers[region];
    return choices.length == 0 ? null : choices[(int) random & (choices.length - 1)];
  }

  /** Returns the fraction of the callers of {@code region} sent to {@code zone}, both by index. */
  double trafficFraction(int region, int zone) {
    return fractions[region][zone];
  }

  private static Route[] buildAnswers(
      int region, ServiceFacts facts, double[] fractions, int ttlMillis) {
    List<Member> holders = new ArrayList<>();
    List<Double> weights = new ArrayList<>();
    for (int zone = 0; zone < fractions.length; zone++) {
      ServiceFacts.Zone serviceZone = facts.zones().get(zone);
      for (ServiceFacts.Holder holder : serviceZone.holders()) {
        if (fractions[zone] > 0) {
          holders.add(holder.member());
          weights.add(fractions[zone] * holder.slots() / serviceZone.slots());
        }
      }
    }
    int length = answerCount(holders.size());
    int[] counts = LargestRemainder.apportion(weights, length);
    Route[] routes = new Route[length];
    Contract.Region callerRegion = facts.contract().regions().get(region);
    FallbackOrder fallbackOrder =
        FallbackOrder.forCallersOf(
            callerRegion, facts, isOverflowing(callerRegion, facts, fractions), MAX_ENTRIES);
    Map<List<Member>, Route> routesByEntries = new HashMap<>();
    int filled = 0;
    for (int i = 0; i < counts.length; i++) {
      for (int n = 0; n < counts[i]; n++) {
        List<Member> entries = fallbackOrder.startingWith(holders.get(i), (n + 0.5) / counts[i]);
        routes[filled++] =
            routesByEntries.computeIfAbsent(
                entries, list -> route(list, callerRegion, facts, ttlMillis));
      }
    }
    return routes;
  }

  /**
   * Returns the number of answers: a power of two, larger if many gates hold the service. With
   * fewer answers than gates, some gates would never be returned, whatever their fraction.
   */
  private static int answerCount(int holders) {
    if (holders == 0) {
      return 0;
    }
    int length = MIN_ANSWERS;
    while (length < ANSWERS_PER_HOLDER * holders && length < MAX_ANSWERS) {
      length *= 2;
    }
    return length;
  }

  /**
   * Returns true if so many callers of {@code callerRegion} are sent to other regions that it is
   * visible in the answers.
   */
  private static boolean isOverflowing(
      Contract.Region callerRegion, ServiceFacts facts, double[] fractions) {
    double remoteFraction = 0;
    for (int zone = 0; zone < fractions.length; zone++) {
      remoteFraction +=
          callerRegion.zones().contains(facts.zones().get(zone).name()) ? 0 : fractions[zone];
    }
    return remoteFraction > 1.0 / MIN_ANSWERS;
  }

  private static Route route(
      List<Member> entries, Contract.Region callerRegion, ServiceFacts facts, int ttlMillis) {
    String zone = entries.get(0).zone();
    boolean isLocal = callerRegion.zones().contains(zone);
    String reason =
        (isLocal
                ? "in the caller's region, zone "
                : "the caller's region is full, headroom in zone ")
            + zone;
    return new Route(entries, facts.contract().revision(), ttlMillis, reason);
  }
}
