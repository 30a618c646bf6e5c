package org.sageladder.standin.store;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs the store stand-in until it is ended; prints its address once it listens. */
public final class StoreMain {
  private static final Options OPTIONS =
      new Options()
          .addOption(null, "host", true, "IP number to listen on")
          .addOption(null, "port", true, "TCP port, 0 for any free one");

  private StoreMain() {}

  /** Takes {@code --host IP} (default 127.0.0.1) and {@code --port PORT} (default 0: any free). */
  public static void main(String[] args) throws IOException, InterruptedException {
    CommandLine line;
    int port;
    try {
      line = new DefaultParser().parse(OPTIONS, args);
      port = Integer.parseInt(line.getOptionValue("port", "0"));
    } catch (ParseException | NumberFormatException e) {
      System.err.println("store stand-in: " + e.getMessage() + "; expected --host IP --port PORT");
      System.exit(2);
      return;
    }
    try (StoreServer server = StoreServer.start(line.getOptionValue("host", "127.0.0.1"), port)) {
      System.out.println(server.address());
      new CountDownLatch(1).await();
    }
  }
}
