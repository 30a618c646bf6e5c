package org.sageladder.assembly;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.store.StoreException;
import org.sageladder.platform.contract.ContractYaml;
import org.sageladder.platform.settings.ExitCode;
import org.sageladder.platform.settings.SettingsException;
import org.sageladder.standin.store.StoreServer;
import org.sageladder.standin.target.TargetServer;

/**
 * The command {@code sageladder-local}: runs the whole system of each given contract under load for
 * a short time, kills one entry VM and drains one target meanwhile, and reports the results that
 * callers saw. It then simulates a day of each user's deployment on virtual time.
 */
public final class LocalMain {
  private static final int ENTRIES_PER_ZONE = 1;
  private static final Duration WARM_UP = Duration.ofSeconds(2);

  private LocalMain() {}

  /** Exits with 0 only if every request received a response and no rule was violated. */
  public static void main(String[] args) throws Exception {
    Options options = new Options();
    options.addOption(
        Option.builder()
            .longOpt("seconds")
            .hasArg()
            .argName("N")
            .desc("duration of the load in seconds (default 4)")
            .get());
    options.addOption(
        Option.builder()
            .longOpt("load")
            .hasArg()
            .argName("FRACTION")
            .desc("rate as a fraction of all targets' capacity (default 0.2)")
            .get());
    options.addOption(
        Option.builder()
            .longOpt("contracts")
            .hasArg()
            .argName("DIR")
            .desc("directory of the contracts to run if none is given (default contracts)")
            .get());
    options.addOption(Option.builder().longOpt("help").desc("print this and exit").get());
    CommandLine line;
    try {
      line = new DefaultParser().parse(options, args);
      if (line.hasOption("help")) {
        printHelp(options, System.out);
        System.exit(ExitCode.OK.status());
      }
    } catch (ParseException e) {
      System.err.println(
          "sageladder-local: "
              + e.getMessage()
              + "; use [--seconds N] [--load FRACTION] CONTRACT…");
      System.exit(ExitCode.USAGE.status());
      return;
    }
    Duration duration = Duration.ofSeconds(Long.parseLong(line.getOptionValue("seconds", "4")));
    double load = Double.parseDouble(line.getOptionValue("load", "0.2"));
    List<Path> files = line.getArgList().stream().map(Path::of).toList();
    if (files.isEmpty()) {
      files = listContracts(Path.of(line.getOptionValue("contracts", "contracts")));
    }
    boolean succeeded = !files.isEmpty();
    for (Path file : files) {
      succeeded &= run(file, duration, load, System.out);
    }
    succeeded &= PlatformDays.run(System.out);
    System.exit((succeeded ? ExitCode.OK : ExitCode.VERDICT_FAILED).status());
  }

  private static void printHelp(Options options, PrintStream out) {
    out.println("usage: sageladder-local [options] [CONTRACT...]");
    for (Option option : options.getOptions()) {
      String argument = option.hasArg() ? ' ' + option.getArgName() : "";
      out.printf("  %-20s %s%n", "--" + option.getLongOpt() + argument, option.getDescription());
    }
    out.println("for example: sageladder-local --seconds 10 contracts/kannelkoda.yaml");
  }

  private static List<Path> listContracts(Path directory) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.filter(file -> file.toString().endsWith(".yaml")).sorted().toList();
    }
  }

  private static boolean run(Path file, Duration duration, double load, PrintStream out)
      throws IOException, InterruptedException, SettingsException, StoreException {
    Contract contract = ContractYaml.parse(file.toString(), Files.readString(file));
    try (StoreServer store = StoreServer.start("127.0.0.1", 0);
        LocalSystem system = LocalSystem.start(store, contract, ENTRIES_PER_ZONE)) {
      system.awaitReady();
      warmUp(contract, system, load);
      try (LocalLoad callers = LocalLoad.create(contract, system.callerAddresses(), 1)) {
        LoadEvents events = new LoadEvents(system);
        Thread faults = new Thread(() -> events.run(duration), "faults");
        faults.start();
        callers.run(load, duration);
        faults.join();
        return report(contract, system, callers, events, duration, out);
      }
    }
  }

  /**
   * Lets the shift caps rise from their cold-start values, so that the run does not measure this.
   */
  private static void warmUp(Contract contract, LocalSystem system, double load)
      throws InterruptedException {
    try (LocalLoad callers = LocalLoad.create(contract, system.callerAddresses(), 2)) {
      callers.run(load / 2, WARM_UP);
    }
  }

  private static boolean report(
      Contract contract,
      LocalSystem system,
      LocalLoad callers,
      LoadEvents events,
      Duration duration,
      PrintStream out) {
    Histogram latency = callers.latency();
    out.printf(
        "%n%s: %d entry VMs in %d zones, %d targets, %d s%n",
        contract.customer(),
        system.entries().size() + 1,
        contract.zones().size(),
        system.targets().size(),
        duration.toSeconds());
    out.printf("  requests   %d sent, %d completed%n", callers.sentCount(), callers.endedCount());
    for (Map.Entry<String, Long> result : callers.resultCounts().entrySet()) {
      String example = callers.firstDetail(result.getKey());
      out.printf(
          "  result     %-52s %d%s%n",
          result.getKey(), result.getValue(), example.isEmpty() ? "" : " (first: " + example + ")");
    }
    out.printf(
        "  latency    p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, max %.1f ms%n",
        latency.getValueAtPercentile(50) / 1000.0,
        latency.getValueAtPercentile(90) / 1000.0,
        latency.getValueAtPercentile(99) / 1000.0,
        latency.getMaxValue() / 1000.0);
    out.printf(
        "  headroom   %.0f %% of slots free at the busiest sample%n", events.minHeadroom() * 100);
    out.printf("  entry VM   %s killed mid-run%n", events.killedEntry());
    out.printf(
        "  drain      %s idle %d ms after the drain was announced%n",
        events.drainedTarget(), events.drainMillis());
    long missing = callers.sentCount() - callers.endedCount();
    if (missing > 0) {
      out.printf("  MISSING    %d requests without any response%n", missing);
    }
    return missing == 0 && callers.sentCount() > 0;
  }

  /** Injects events into the system while it is under load, and samples its headroom. */
  private static final class LoadEvents {
    private final LocalSystem system;
    private volatile double minHeadroom = 1;
    private volatile String killedEntry = "none";
    private volatile String drainedTarget = "none";
    private volatile long drainMillis = -1;

    LoadEvents(LocalSystem system) {
      this.system = system;
    }

    void run(Duration duration) {
      try {
        sampleHeadroom(duration.dividedBy(3));
        killedEntry = new ArrayList<>(system.entries().keySet()).get(0);
        system.killEntry(killedEntry);
        sampleHeadroom(duration.dividedBy(3));
        drain();
        sampleHeadroom(duration.dividedBy(6));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private void drain() throws InterruptedException {
      List<String> ids = new ArrayList<>(system.targets().keySet());
      drainedTarget = ids.get(ids.size() / 2);
      TargetServer target = system.targets().get(drainedTarget);
      if (target == null) {
        return;
      }
      long startNanos = System.nanoTime();
      system.drainTarget(drainedTarget);
      while (target.busySlotCount() > 0) {
        Thread.sleep(1);
      }
      drainMillis = (System.nanoTime() - startNanos) / 1_000_000;
    }

    private void sampleHeadroom(Duration period) throws InterruptedException {
      long endNanos = System.nanoTime() + period.toNanos();
      while (System.nanoTime() < endNanos) {
        int busy = 0;
        int slots = 0;
        for (TargetServer target : system.targets().values()) {
          busy += target.busySlotCount();
          slots += target.options().slots();
        }
        minHeadroom = Math.min(minHeadroom, 1 - busy / (double) slots);
        Thread.sleep(20);
      }
    }

    double minHeadroom() {
      return minHeadroom;
    }

    String killedEntry() {
      return killedEntry;
    }

    String drainedTarget() {
      return drainedTarget;
    }

    long drainMillis() {
      return drainMillis;
    }
  }
}
