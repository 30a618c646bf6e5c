package org.sageladder.standin.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sageladder.standin.fault.FaultScript;

/** Runs the store stand-in until it is stopped; prints its address once it listens. */
public final class StoreMain {
  private static final Options OPTIONS =
      new Options()
          .addOption(null, "host", true, "IP address to listen on")
          .addOption(null, "port", true, "TCP port, 0 for a free one")
          .addOption(null, "script", true, "JSON file with timed faults");

  private StoreMain() {}

  /**
   * Accepts {@code --host IP} (default 127.0.0.1), {@code --port PORT} (default 0, a free port) and
   * {@code --script FILE} (no default).
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    CommandLine line;
    int port;
    FaultScript<StoreFaults> script = new FaultScript<>(List.of());
    try {
      line = new DefaultParser().parse(OPTIONS, args);
      port = Integer.parseInt(line.getOptionValue("port", "0"));
      if (line.hasOption("script")) {
        Path file = Path.of(line.getOptionValue("script"));
        script = FaultScript.read(file, StoreFaults.none(), StoreFaults.class);
      }
    } catch (ParseException | NumberFormatException | IOException e) {
      System.err.println(
          "store stand-in: " + e.getMessage() + "; expected --host IP --port PORT --script FILE");
      System.exit(2);
      return;
    }
    try (StoreServer server = StoreServer.start(line.getOptionValue("host", "127.0.0.1"), port)) {
      script.play(server::setFaults);
      System.out.println(server.address());
      new CountDownLatch(1).await();
    }
  }
}
