package org.sageladder.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import org.sageladder.scenario.rule.Rule;
import org.sageladder.scenario.rule.Rules;
import org.sageladder.scenario.trouble.Trouble;
import org.sageladder.scenario.trouble.Troubles;

/**
 * Troubles at times of a day; drawn from a seed, or written down.
 *
 * <pre>{@code
 * Scenario.Outcome outcome = Scenario.drawn(7).play(Deployment.auction(), LogSource.none());
 * outcome.broken().forEach(System.out::println);
 * }</pre>
 *
 * @param seed what requests, and whom the troubles hit, follow from
 * @param troubles the troubles, by their times
 */
public record Scenario(long seed, List<ScheduledTrouble> troubles) {
  /** How long the traffic of a day lasts, in milliseconds. */
  static final long TRAFFIC_MILLIS = 30_000;

  private static final long EARLIEST_TROUBLE_MILLIS = 5_000;
  private static final int TROUBLE_START_RANGE_MILLIS = 12_000;
  private static final int MIN_TROUBLES = 1;
  private static final int TROUBLE_COUNT_RANGE = 4;

  /** One trouble by name, at so many milliseconds after the start of the traffic. */
  public record ScheduledTrouble(long atMillis, String trouble) {}

  /** What came of a day: its figures and the rules that it broke, a line each. */
  public record Outcome(Scenario scenario, SimulatedDay day, List<String> violations) {}

  /** A day with one to four troubles drawn from {@code seed}; some strike at the same moment. */
  public static Scenario random(long seed) {
    Random random = new Random(seed);
    int count = MIN_TROUBLES + random.nextInt(TROUBLE_COUNT_RANGE);
    List<String> names = List.copyOf(Troubles.all().keySet());
    List<ScheduledTrouble> strikes = new ArrayList<>();
    long at = EARLIEST_TROUBLE_MILLIS + random.nextInt(TROUBLE_START_RANGE_MILLIS);
    for (int i = 0; i < count; i++) {
      strikes.add(new ScheduledTrouble(at, names.get(random.nextInt(names.size()))));
      if (random.nextBoolean()) {
        at = EARLIEST_TROUBLE_MILLIS + random.nextInt(TROUBLE_START_RANGE_MILLIS);
      }
    }
    strikes.sort(Comparator.comparingLong(ScheduledTrouble::atMillis));
    return new Scenario(seed, strikes);
  }

  /** A day without troubles. */
  public static Scenario withoutTroubles(long seed) {
    return new Scenario(seed, List.of());
  }

  /** A day with one trouble, by its name in {@link Troubles#all}. */
  public static Scenario of(long seed, String trouble) {
    return new Scenario(seed, List.of(new ScheduledTrouble(EARLIEST_TROUBLE_MILLIS, trouble)));
  }

  /** Plays it. */
  public Outcome run(Deployment deployment, Fleet.LogSource logs) {
    return runFor(TRAFFIC_MILLIS, deployment, logs);
  }

  /** Plays its first {@code millis}. */
  Outcome runFor(long trafficMillis, Deployment deployment, Fleet.LogSource logs) {
    Random random = new Random(seed);
    Fleet fleet = Fleet.start(deployment, seed, logs);
    for (ScheduledTrouble strike : troubles) {
      Trouble trouble = Objects.requireNonNull(Troubles.find(strike.trouble()));
      fleet.runAfter(strike.atMillis(), () -> trouble.inject(fleet, random));
    }
    fleet.runFor(trafficMillis);
    SimulatedDay day = fleet.finish();
    List<String> broken = new ArrayList<>();
    for (Rule rule : Rules.all()) {
      rule.violations(day).forEach(line -> broken.add(rule.name() + ": " + line));
    }
    return new Outcome(this, day, broken);
  }
}
