package org.sageladder.tools.load;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import java.util.function.UnaryOperator;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.Contract.ShiftCap;
import org.sageladder.platform.settings.ExitCode;
import org.sageladder.platform.settings.SettingPatterns;
import org.sageladder.platform.settings.SettingsException;
import org.sageladder.tools.timeline.TimeLineMain;

/** Entry point of {@code sageladder-load}. */
public final class LoadMain {
  private static final String USAGE = "sageladder-load EXPERIMENT.yaml [options]";
  private static final ShiftCap NO_SHIFT_CAP = new ShiftCap(1, Duration.ofSeconds(1));

  private LoadMain() {}

  /** Runs an experiment; exits with 0 if its verdict holds and 1 if it fails. */
  public static void main(String[] args) {
    System.setProperty("java.awt.headless", "true");
    System.exit(run(args, System.out, System.err).status());
  }

  /** Does the same as {@link #main}, without exiting the process. */
  public static ExitCode run(String[] args, PrintStream out, PrintStream err) {
    try {
      CommandLine commandLine = new DefaultParser().parse(options(), args);
      if (commandLine.hasOption("help") || commandLine.getArgList().size() != 1) {
        help(commandLine.hasOption("help") ? out : err);
        return commandLine.hasOption("help") ? ExitCode.OK : ExitCode.USAGE;
      }
      return run(commandLine, out);
    } catch (ParseException e) {
      err.println("sageladder-load: " + e.getMessage() + "; see --help");
      return ExitCode.USAGE;
    } catch (SettingsException e) {
      err.println("sageladder-load: " + e.getMessage());
      return ExitCode.BAD_SETTINGS;
    } catch (IOException e) {
      err.println("sageladder-load: " + e.getMessage());
      return ExitCode.UNAVAILABLE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      err.println("sageladder-load: interrupted");
      return ExitCode.INTERNAL;
    }
  }

  private static ExitCode run(CommandLine commandLine, PrintStream out)
      throws ParseException, SettingsException, IOException, InterruptedException {
    Experiment experiment = Experiment.read(Path.of(commandLine.getArgList().get(0)));
    UnaryOperator<Contract> change =
        contractChange(commandLine.getOptionValue("disable", "nothing"));
    if (commandLine.hasOption("entries") && commandLine.hasOption("disable")) {
      throw new ParseException(
          "--disable applies only to a system that this command starts; it excludes --entries");
    }
    String tag = commandLine.hasOption("entries") ? uniqueRunTag() : "";
    ExperimentRun run = ExperimentRun.of(experiment, provider(commandLine), tag, out::println);
    List<VariantResult> variants = new ArrayList<>();
    variants.add(run.runSystem(change.apply(experiment.contract())));
    if (!commandLine.hasOption("no-baselines")) {
      variants.add(run.runRandomChoice());
      variants.add(run.runLocalOnly());
    }
    if (commandLine.hasOption("baseline-build")) {
      variants.add(run.runOtherBuild(Path.of(commandLine.getOptionValue("baseline-build"))));
    }
    List<CheckResult> checks = Checks.of(variants.get(0));
    Path directory =
        Path.of(commandLine.getOptionValue("output", "target/load/" + experiment.name()));
    Report.write(directory, variants, checks);
    out.print(Report.summary(checks));
    boolean allHold = Report.allHold(checks);
    out.println("report: " + directory.resolve("report.html"));
    out.println(experiment.name() + ": verdict " + (allHold ? "holds" : "FAILS"));
    return allHold ? ExitCode.OK : ExitCode.VERDICT_FAILED;
  }

  /**
   * Returns the change of the contract that disables {@code feature} in the system. The checks
   * still use the experiment's contract, which shows that they can fail.
   */
  static UnaryOperator<Contract> contractChange(String feature) throws ParseException {
    return switch (feature) {
      case "nothing" -> UnaryOperator.identity();
      case "caps" -> LoadMain::withoutCaps;
      default ->
          throw new ParseException(
              "--disable '" + feature + "' is not allowed; give caps or nothing");
    };
  }

  private static Contract withoutCaps(Contract contract) {
    return contract.withServices(service -> service.withShiftCaps(NO_SHIFT_CAP, NO_SHIFT_CAP));
  }

  /**
   * Returns a suffix of the request ids that is unique to this run. Processes that keep running
   * have executed the requests of earlier runs. Without a unique part in its request ids, a second
   * run would look as if its requests had run twice.
   */
  private static String uniqueRunTag() {
    return "-" + Long.toString(System.currentTimeMillis() / 1_000, Character.MAX_RADIX);
  }

  private static SystemUnderTest.Provider provider(CommandLine commandLine) throws ParseException {
    String entries = commandLine.getOptionValue("entries");
    if (entries != null) {
      String operators = commandLine.getOptionValue("operators");
      String targets = commandLine.getOptionValue("targets");
      return RemoteSystem.provider(
          new RemoteSystem.Endpoints(
              List.of(entries.split(",")),
              operators == null ? List.of() : TimeLineMain.parseAddresses(operators),
              targets == null ? null : Path.of(targets),
              parseStoreUri(commandLine.getOptionValue("store"))));
    }
    for (SystemUnderTest.Provider provider : ServiceLoader.load(SystemUnderTest.Provider.class)) {
      return provider;
    }
    throw new ParseException("no provider to start a system; give --entries IP:PORT[,IP:PORT...]");
  }

  private static @Nullable URI parseStoreUri(@Nullable String uri) throws ParseException {
    if (uri == null) {
      return null;
    }
    if (!SettingPatterns.HTTP_URI.matcher(uri).matches()) {
      throw new ParseException(
          "--store '" + uri + "' is not allowed; give " + SettingPatterns.HTTP_URI_ALLOWED);
    }
    return URI.create(uri);
  }

  private static Options options() {
    return new Options()
        .addOption(
            option("output", "DIRECTORY", "directory of the report; default target/load/NAME"))
        .addOption(option("entries", "IP:PORT,...", "callers' ports of running entry VMs"))
        .addOption(option("operators", "IP:PORT,...", "their operators' ports, for the time line"))
        .addOption(
            option(
                "store",
                "http://IP:PORT",
                "store stand-in, for faults of the store and the VM list"))
        .addOption(option("targets", "FILE", "YAML list of their target stand-ins, for the checks"))
        .addOption(
            option("disable", "WHAT", "caps: run without shift caps, which must fail the verdict"))
        .addOption(
            option("baseline-build", "DIRECTORY", "compare with the build whose jars are in it"))
        .addOption(
            Option.builder()
                .longOpt("no-baselines")
                .desc("skip the baselines random choice and local only")
                .get())
        .addOption(Option.builder().longOpt("help").desc("show this help").get());
  }

  private static Option option(String name, String argument, String summary) {
    return Option.builder().longOpt(name).hasArg().argName(argument).desc(summary).get();
  }

  private static void help(PrintStream out) {
    out.println("usage: " + USAGE);
    for (Option option : options().getOptions()) {
      String argument = option.hasArg() ? " " + option.getArgName() : "";
      out.printf("  %-26s %s%n", "--" + option.getLongOpt() + argument, option.getDescription());
    }
  }
}
