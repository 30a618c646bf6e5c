package org.sageladder.entry;

import java.io.IOException;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sageladder.entry.log.Logs;
import org.sageladder.entry.settings.EntrySettings;
import org.sageladder.platform.settings.ExitCode;
import org.sageladder.platform.settings.SettingsException;

/** The command {@code sageladder-entry --settings FILE}. */
public final class EntryMain {
  private EntryMain() {}

  /** Runs the daemon until it is told to stop; exits by the table in docs/CONFIGURATION.md. */
  public static void main(String[] args) throws InterruptedException {
    Options options = new Options();
    options.addOption(
        Option.builder("s")
            .longOpt("settings")
            .hasArg()
            .argName("FILE")
            .desc("YAML settings of this entry VM (see docs/CONFIGURATION.md)")
            .required()
            .get());
    EntrySettings settings;
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      settings = EntrySettings.read(Path.of(line.getOptionValue("settings")));
    } catch (ParseException e) {
      System.err.println("sageladder-entry: " + e.getMessage() + "; use --settings FILE");
      System.exit(ExitCode.USAGE.status());
      return;
    } catch (SettingsException e) {
      System.err.println("sageladder-entry: " + e.getMessage());
      System.exit(ExitCode.BAD_SETTINGS.status());
      return;
    }
    Logs.configure(settings.logs(), settings.vm());
    run(settings);
  }

  private static void run(EntrySettings settings) throws InterruptedException {
    EntryDaemon daemon;
    try {
      daemon = EntryDaemon.start(settings);
    } catch (IOException e) {
      System.err.println("sageladder-entry: " + e.getMessage());
      System.exit(ExitCode.UNAVAILABLE.status());
      return;
    }
    System.out.println(
        "ready "
            + settings.vm()
            + " callers="
            + daemon.callersPort()
            + " operators="
            + daemon.operatorsPort());
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  try {
                    // The JDK closes the logs at the same time, so this goes to standard output.
                    System.out.println("stopped " + settings.vm() + " " + daemon.stop());
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                  // A JVM ended by SIGTERM reports 143; a planned stop that went well reports 0.
                  Runtime.getRuntime().halt(ExitCode.OK.status());
                },
                "stop"));
    daemon.awaitDrainAsked();
    System.exit(ExitCode.OK.status());
  }
}
