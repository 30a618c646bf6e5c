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
 * A seed and the troubles to inject at given times of a simulated day. The troubles are either
 * listed explicitly or chosen at random from the seed.
 *
 * <pre>{@code
 * Scenario.Outcome outcome = Scenario.random(7).run(Deployment.auction(), LogSource.none());
 * outcome.violations().forEach(System.out::println);
 * }</pre>
 *
 * @param seed seed of the random numbers that determine the requests and what each trouble affects
 * @param troubles the troubles, ordered by time
 */
public record Scenario(long seed, List<Strike> troubles) {
  /** Duration of the traffic of a day, in milliseconds. */
  static final long TRAFFIC_MILLIS = 30_000;

  private static final long EARLIEST_TROUBLE_MILLIS = 5_000;
  private static final int TROUBLE_START_RANGE_MILLIS = 12_000;
  private static final int MIN_TROUBLES = 1;
  private static final int TROUBLE_COUNT_RANGE = 4;

  /** Each day whose seed is a multiple of this has entry VMs that reach no target. */
  private static final int TARGET_CUT_PERIOD = 3;

  /**
   * A trouble by name, and when to inject it, in milliseconds after the start of the traffic.
   * {@code sageladder-days} prints it with {@link #toString}, so the names of the record and its
   * components are part of the output.
   */
  public record Strike(long atMillis, String trouble) {}

  /** Result of a scenario: the recorded day and one line for each violation of a rule. */
  public record Outcome(Scenario scenario, SimulatedDay day, List<String> violations) {}

  /**
   * A scenario with one to four troubles chosen at random by {@code seed}; some of them start at
   * the same time. On some days a cut between entry VMs and targets comes beside them.
   */
  public static Scenario random(long seed) {
    Random random = new Random(seed);
    int count = MIN_TROUBLES + random.nextInt(TROUBLE_COUNT_RANGE);
    List<String> names = List.copyOf(Troubles.all().keySet());
    List<Strike> chosen = new ArrayList<>();
    long atMillis = EARLIEST_TROUBLE_MILLIS + random.nextInt(TROUBLE_START_RANGE_MILLIS);
    for (int i = 0; i < count; i++) {
      chosen.add(new Strike(atMillis, names.get(random.nextInt(names.size()))));
      if (random.nextBoolean()) {
        atMillis = EARLIEST_TROUBLE_MILLIS + random.nextInt(TROUBLE_START_RANGE_MILLIS);
      }
    }
    if (seed % TARGET_CUT_PERIOD == 0) {
      List<String> cuts = List.copyOf(Troubles.targetCuts().keySet());
      chosen.add(new Strike(EARLIEST_TROUBLE_MILLIS, cuts.get(random.nextInt(cuts.size()))));
    }
    chosen.sort(Comparator.comparingLong(Strike::atMillis));
    return new Scenario(seed, chosen);
  }

  /** A scenario without troubles. */
  public static Scenario withoutTroubles(long seed) {
    return new Scenario(seed, List.of());
  }

  /** A scenario with a single trouble, by its name in {@link Troubles#all}. */
  public static Scenario of(long seed, String trouble) {
    return new Scenario(seed, List.of(new Strike(EARLIEST_TROUBLE_MILLIS, trouble)));
  }

  /** Simulates the day with traffic of the default duration. */
  public Outcome run(Deployment deployment, Fleet.LogSource logs) {
    return runFor(TRAFFIC_MILLIS, deployment, logs);
  }

  /** Simulates the day with {@code trafficMillis} of traffic. */
  Outcome runFor(long trafficMillis, Deployment deployment, Fleet.LogSource logs) {
    Random random = new Random(seed);
    Fleet fleet = Fleet.start(deployment, seed, logs);
    for (Strike scheduled : troubles) {
      Trouble trouble = Objects.requireNonNull(Troubles.find(scheduled.trouble()));
      fleet.runAfter(scheduled.atMillis(), () -> trouble.inject(fleet, random));
    }
    fleet.runFor(trafficMillis);
    SimulatedDay day = fleet.finish();
    List<String> violations = new ArrayList<>();
    for (Rule rule : Rules.all()) {
      rule.violations(day).forEach(line -> violations.add(rule.name() + ": " + line));
    }
    return new Outcome(this, day, violations);
  }
}
