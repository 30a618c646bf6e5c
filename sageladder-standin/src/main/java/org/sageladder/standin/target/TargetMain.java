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

/** Runs one target stand-in until it is ended or crashes; prints its address once it listens. */
public final class TargetMain {
  private static final Options OPTIONS =
      new Options()
          .addOption(null, "id", true, "name sent with each answer")
          .addOption(null, "host", true, "IP number to listen on")
          .addOption(null, "port", true, "TCP port, 0 for any free one")
          .addOption(null, "slots", true, "requests that run at the same time")
          .addOption(null, "queue", true, "requests that may wait for a slot")
          .addOption(null, "service-time", true, "fixed:MS, exponential:MEAN, lognormal:MEAN:SIGMA")
          .addOption(null, "seed", true, "seed of all draws")
          .addOption(null, "answer-bytes", true, "usual size of an answer's body")
          .addOption(null, "start-millis", true, "refuses as starting for so long")
          .addOption(null, "cold-millis", true, "slower for so long after that")
          .addOption(null, "cold-factor", true, "service time at first over the usual one")
          .addOption(null, "crash-millis", true, "port closed after a crash; -1 ends the process")
          .addOption(null, "incarnation", true, "number of this start")
          .addOption(null, "script", true, "JSON file of faults and their times");

  private TargetMain() {}

  /** Takes the options that {@link TargetOptions} describes, each with its usual value. */
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
    TargetOptions usual = TargetOptions.create(line.getOptionValue("id", "target"));
    return usual
        .listenAddress(line.getOptionValue("host", usual.host()), (int) longOption(line, "port", 0))
        .slots((int) longOption(line, "slots", usual.slots()))
        .queue((int) longOption(line, "queue", usual.queue()))
        .serviceTime(ServiceTime.parse(line.getOptionValue("service-time", "fixed:20")))
        .seed(longOption(line, "seed", usual.seed()))
        .answerBytes(longOption(line, "answer-bytes", usual.answerBytes()))
        .coldStart(
            longOption(line, "start-millis", 0),
            longOption(line, "cold-millis", 0),
            (double) longOption(line, "cold-factor", 1))
        .crashMillis(longOption(line, "crash-millis", usual.crashMillis()))
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
