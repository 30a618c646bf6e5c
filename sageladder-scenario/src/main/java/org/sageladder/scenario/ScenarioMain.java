package org.sageladder.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.jspecify.annotations.Nullable;
import org.sageladder.scenario.Scenario.Outcome;
import org.sageladder.scenario.rule.RetryWindow;
import org.sageladder.scenario.trouble.Troubles;

/**
 * The command {@code sageladder-days}: simulates one day per seed with troubles chosen by the seed,
 * and reports which rules were violated.
 *
 * <pre>{@code
 * sageladder-days --seeds 1..50
 * sageladder-days --seeds 17 --log day-17.jsonl
 * sageladder-days --trouble store-silent --seeds 1..5
 * sageladder-days --deployment stamps --trouble none --windows --seeds 1
 * }</pre>
 *
 * <p>Exit codes: 0 if no rule was violated, 1 if a rule was violated, 2 if the command line is
 * invalid.
 */
public final class ScenarioMain {
  private static final int EXIT_RULE_VIOLATED = 1;
  private static final int EXIT_USAGE = 2;
  private static final int MAX_VIOLATIONS_SHOWN = 5;
  private static final String NO_TROUBLE = "none";

  private record SeedRange(long first, long last) {
    static SeedRange parse(String text) throws ParseException {
      try {
        int dots = text.indexOf("..");
        long first = Long.parseLong(dots < 0 ? text : text.substring(0, dots));
        long last = dots < 0 ? first : Long.parseLong(text.substring(dots + 2));
        return new SeedRange(first, last);
      } catch (NumberFormatException e) {
        throw new ParseException("--seeds is '" + text + "'; accepted is N or FIRST..LAST");
      }
    }
  }

  /** What to simulate for each seed, and what to report. */
  private record RunOptions(
      @Nullable Deployment deployment,
      @Nullable String trouble,
      @Nullable String logFile,
      double rateFactor,
      long trafficMillis,
      boolean printsWindows) {}

  private ScenarioMain() {}

  /** Runs the simulations that the command line asks for. */
  public static void main(String[] arguments) throws IOException {
    Options options = new Options();
    addOption(options, "seeds", "N|FIRST..LAST", "seeds of the days to simulate (default 1..20)");
    addOption(
        options, "trouble", "NAME", "inject only this trouble, or none, instead of random ones");
    addOption(
        options,
        "deployment",
        "NAME",
        "auction, listing, stamps, archive, bookings, grown, freight or parts (default by seed)");
    options.addOption(
        Option.builder()
            .longOpt("windows")
            .desc("print results per two seconds, route and zone")
            .get());
    addOption(options, "length", "MILLIS", "duration of the traffic (default 30000)");
    addOption(options, "pace", "FACTOR", "factor on the request rate (default 1)");
    addOption(options, "log", "FILE", "write the log lines of all entry VMs here, by time");
    options.addOption(Option.builder().longOpt("help").desc("print this and exit").get());
    try {
      CommandLine line = new DefaultParser().parse(options, arguments);
      if (line.hasOption("help")) {
        printHelp(options, System.out);
        System.exit(0);
      }
      SeedRange seeds = SeedRange.parse(line.getOptionValue("seeds", "1..20"));
      RunOptions chosenOptions =
          new RunOptions(
              parseDeployment(line.getOptionValue("deployment")),
              parseTrouble(line.getOptionValue("trouble")),
              line.getOptionValue("log"),
              parseRateFactor(line.getOptionValue("pace", "1")),
              parseTrafficMillis(line.getOptionValue("length")),
              line.hasOption("windows"));
      System.exit(runSeeds(seeds, chosenOptions) ? 0 : EXIT_RULE_VIOLATED);
    } catch (ParseException e) {
      System.err.println("sageladder-days: " + e.getMessage());
      System.exit(EXIT_USAGE);
    }
  }

  private static void printHelp(Options options, PrintStream out) {
    out.println("usage: sageladder-days [options]");
    for (Option option : options.getOptions()) {
      String argument = option.hasArg() ? ' ' + option.getArgName() : "";
      out.printf("  %-24s %s%n", "--" + option.getLongOpt() + argument, option.getDescription());
    }
    out.println("for example: sageladder-days --deployment stamps --trouble one-way --seeds 1..5");
  }

  private static void addOption(Options options, String name, String argument, String text) {
    options.addOption(Option.builder().longOpt(name).hasArg().argName(argument).desc(text).get());
  }

  private static @Nullable String parseTrouble(@Nullable String name) throws ParseException {
    if (name == null || name.equals(NO_TROUBLE) || Troubles.find(name) != null) {
      return name;
    }
    throw new ParseException(
        "--trouble is '"
            + name
            + "'; accepted are "
            + NO_TROUBLE
            + " and "
            + Troubles.all().keySet());
  }

  private static @Nullable Deployment parseDeployment(@Nullable String name) throws ParseException {
    if (name == null) {
      return null;
    }
    return Deployment.named(name)
        .orElseThrow(
            () ->
                new ParseException(
                    "--deployment is '"
                        + name
                        + "'; accepted are auction, listing, stamps, archive, bookings, grown, freight,"
                        + " parts, relayed, workspaces"));
  }

  private static double parseRateFactor(String text) throws ParseException {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw new ParseException("--pace is '" + text + "'; accepted is a number such as 1.5");
    }
  }

  private static long parseTrafficMillis(@Nullable String text) throws ParseException {
    if (text == null) {
      return Scenario.TRAFFIC_MILLIS;
    }
    if (text.matches("[1-9][0-9]{2,6}")) {
      return Long.parseLong(text);
    }
    throw new ParseException("--length is '" + text + "'; accepted is 100 to 9999999, in ms");
  }

  private static boolean runSeeds(SeedRange seeds, RunOptions options) throws IOException {
    int violatedDays = 0;
    List<String> lines = new ArrayList<>();
    Fleet.LogSource logs =
        options.logFile() == null ? Fleet.LogSource.none() : LogLines.appendTo(lines);
    for (long seed = seeds.first(); seed <= seeds.last(); seed++) {
      Deployment chosen = options.deployment();
      Deployment deployment = chosen == null ? Deployment.forSeed(seed) : chosen;
      Outcome outcome =
          createScenario(seed, options.trouble())
              .runFor(
                  options.trafficMillis(), deployment.withRateFactor(options.rateFactor()), logs);
      printOutcome(outcome, System.out);
      if (options.printsWindows()) {
        TrafficReport.of(outcome.day(), deployment).print(System.out);
      }
      if (options.logFile() != null) {
        LogLines.addArrivals(outcome.day(), lines);
      }
      violatedDays += outcome.violations().isEmpty() ? 0 : 1;
    }
    if (options.logFile() != null) {
      Files.write(Path.of(options.logFile()), lines, StandardCharsets.UTF_8);
    }
    System.out.println("days with a broken rule: " + violatedDays);
    return violatedDays == 0;
  }

  private static Scenario createScenario(long seed, @Nullable String trouble) {
    if (trouble == null) {
      return Scenario.random(seed);
    }
    return trouble.equals(NO_TROUBLE) ? Scenario.withoutTroubles(seed) : Scenario.of(seed, trouble);
  }

  private static void printRetries(SimulatedDay day, PrintStream out) {
    RetryWindow.fullest(day)
        .ifPresent(
            window ->
                out.printf(
                    Locale.ROOT,
                    "  retries at most %.2f of those allowed (%s, to %d)%n",
                    window.usedFraction(),
                    window.service(),
                    window.endMillis()));
  }

  private static void printWorstVm(SimulatedDay day, PrintStream out) {
    FirstTries.of(day)
        .worstVm()
        .ifPresent(
            worst ->
                out.printf(
                    Locale.ROOT,
                    "  first tries served at least %.3f (%s), in the mean %.3f%n",
                    worst.servedFraction(),
                    worst.vm(),
                    FirstTries.of(day).meanServedFraction()));
  }

  private static void printOutcome(Outcome outcome, PrintStream out) {
    Scenario scenario = outcome.scenario();
    out.printf(
        Locale.ROOT,
        "seed %d: %d requests, worth %.3f, served %.3f, %s %s%n",
        scenario.seed(),
        outcome.day().requests().size(),
        outcome.day().creditFraction(),
        outcome.day().successFraction(0),
        outcome.violations().isEmpty() ? "kept" : "BROKEN",
        scenario.troubles());
    outcome.violations().stream()
        .limit(MAX_VIOLATIONS_SHOWN)
        .forEach(line -> out.println("  " + line));
    printRetries(outcome.day(), out);
    printWorstVm(outcome.day(), out);
    out.println("  calls to the store " + outcome.day().storeCallsByKind());
    QuarantineReport.of(outcome.day()).print(out);
    if (outcome.violations().size() > MAX_VIOLATIONS_SHOWN) {
      out.println("  and " + (outcome.violations().size() - MAX_VIOLATIONS_SHOWN) + " more");
    }
  }
}
