package org.sageladder.standin.target;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sageladder.standin.fault.FaultScript;

/** Runs a target stand-in until it is stopped or crashes; prints its address once it listens. */
public final class TargetMain {
  private static final Options OPTIONS =
      new Options()
          .addOption(null, "id", true, "id sent with each answer")
          .addOption(null, "host", true, "IP address to listen on")
          .addOption(null, "port", true, "TCP port, 0 for a free one")
          .addOption(null, "slots", true, "number of requests that run at the same time")
          .addOption(null, "queue", true, "number of requests that may wait for a slot")
          .addOption(null, "service-time", true, "fixed:MS, exponential:MEAN, lognormal:MEAN:SIGMA")
          .addOption(null, "seed", true, "seed of the random generator")
          .addOption(null, "answer-bytes", true, "default size of an answer's body")
          .addOption(
              null,
              "start-millis",
              true,
              "time after a start during which all requests are refused")
          .addOption(
              null, "cold-millis", true, "time after that during which the target runs more slowly")
          .addOption(
              null, "cold-factor", true, "factor on service times at the start of the cold phase")
          .addOption(
              null,
              "crash-millis",
              true,
              "time the port stays closed after a crash; -1 ends the process")
          .addOption(null, "incarnation", true, "number of the first incarnation")
          .addOption(null, "script", true, "JSON file with timed faults");

  private TargetMain() {}

  /** Accepts the options described in {@link TargetOptions}; each has a default. */
  public static void main(String[] args) throws IOException, InterruptedException {
    TargetOptions options;
    FaultScript<TargetFaults> script = new FaultScript<>(List.of());
    try {
      CommandLine line = new DefaultParser().parse(OPTIONS, args);
      options = options(line);
      if (line.hasOption("script")) {
        Path file = Path.of(line.getOptionValue("script"));
        script = FaultScript.read(file, TargetFaults.none(), TargetFaults.class);
      }
    } catch (ParseException | IllegalArgumentException | IOException e) {
      System.err.println("target stand-in: " + e.getMessage());
      System.exit(2);
      return;
    }
    try (TargetServer server = TargetServer.start(options)) {
      script.play(server::setFaults);
      System.out.println(server.address());
      new CountDownLatch(1).await();
    }
  }

  static TargetOptions options(CommandLine line) {
    TargetOptions defaults = TargetOptions.create(line.getOptionValue("id", "target"));
    return defaults
        .listenAddress(
            line.getOptionValue("host", defaults.host()), (int) longOption(line, "port", 0))
        .slots((int) longOption(line, "slots", defaults.slots()))
        .queue((int) longOption(line, "queue", defaults.queue()))
        .serviceTime(ServiceTime.parse(line.getOptionValue("service-time", "fixed:20")))
        .seed(longOption(line, "seed", defaults.seed()))
        .answerBytes(longOption(line, "answer-bytes", defaults.answerBytes()))
        .coldStart(
            longOption(line, "start-millis", 0),
            longOption(line, "cold-millis", 0),
            (double) longOption(line, "cold-factor", 1))
        .crashMillis(longOption(line, "crash-millis", defaults.crashMillis()))
        .incarnation(longOption(line, "incarnation", 1));
  }

  private static long longOption(CommandLine line, String option, long defaultValue) {
    String text = line.getOptionValue(option);
    if (text == null) {
      return defaultValue;
    }
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("--" + option + " " + text + ": expected a number", e);
    }
  }
}
