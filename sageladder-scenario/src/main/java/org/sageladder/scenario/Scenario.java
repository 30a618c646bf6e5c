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
 * @param strikes the troubles, by their times
 */
public record Scenario(long seed, List<Strike> strikes) {
  /** How long the traffic of a day lasts, in milliseconds. */
  static final long LENGTH_MILLIS = 30_000;

  private static final long FIRST_MILLIS = 5_000;
  private static final int LAST_STRIKE_MILLIS = 12_000;
  private static final int FEWEST = 1;
  private static final int MORE = 4;

  /** One trouble by name, at so many milliseconds after the start of the traffic. */
  public record Strike(long atMillis, String trouble) {}

  /** What came of a day: its figures and the rules that it broke, a line each. */
  public record Outcome(Scenario scenario, Day day, List<String> broken) {}

  /** A day with one to four troubles drawn from {@code seed}; some strike at the same moment. */
  public static Scenario drawn(long seed) {
    Random random = new Random(seed);
    int count = FEWEST + random.nextInt(MORE);
    List<String> names = List.copyOf(Troubles.all().keySet());
    List<Strike> strikes = new ArrayList<>();
    long at = FIRST_MILLIS + random.nextInt(LAST_STRIKE_MILLIS);
    for (int i = 0; i < count; i++) {
      strikes.add(new Strike(at, names.get(random.nextInt(names.size()))));
      if (random.nextBoolean()) {
        at = FIRST_MILLIS + random.nextInt(LAST_STRIKE_MILLIS);
      }
    }
    strikes.sort(Comparator.comparingLong(Strike::atMillis));
    return new Scenario(seed, strikes);
  }

  /** A day without troubles. */
  public static Scenario calm(long seed) {
    return new Scenario(seed, List.of());
  }

  /** A day with one trouble, by its name in {@link Troubles#all}. */
  public static Scenario of(long seed, String trouble) {
    return new Scenario(seed, List.of(new Strike(FIRST_MILLIS, trouble)));
  }

  /** Plays it. */
  public Outcome play(Deployment deployment, Fleet.LogSource logs) {
    return playFor(LENGTH_MILLIS, deployment, logs);
  }

  /** Plays its first {@code millis}. */
  Outcome playFor(long millis, Deployment deployment, Fleet.LogSource logs) {
    Random random = new Random(seed);
    Fleet fleet = Fleet.start(deployment, seed, logs);
    for (Strike strike : strikes) {
      Trouble trouble = Objects.requireNonNull(Troubles.named(strike.trouble()));
      fleet.after(strike.atMillis(), () -> trouble.strike(fleet, random));
    }
    fleet.runFor(millis);
    Day day = fleet.end();
    List<String> broken = new ArrayList<>();
    for (Rule rule : Rules.all()) {
      rule.broken(day).forEach(line -> broken.add(rule.name() + ": " + line));
    }
    return new Outcome(this, day, broken);
  }
}
