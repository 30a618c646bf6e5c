package org.sageladder.entry;

import java.io.IOException;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sageladder.entry.log.Logs;
import org.sageladder.entry.settings.EntrySettings;
import org.sageladder.platform.settings.ExitCode;
import org.sageladder.platform.settings.SettingsException;

/**
 * The command {@code sageladder-entry --settings FILE}.
 *
 * <pre>{@code
 * sageladder-entry --settings entry.yaml          # serves until it is stopped
 * sageladder-entry --settings entry.yaml --check  # only checks the settings
 * }</pre>
 */
public final class EntryMain {
  private static final String SYNTAX = "sageladder-entry --settings FILE [--check]";
  private static final String HELP =
      """
      Usage: sageladder-entry --settings FILE [--check]

      Serves the callers of one customer from this entry VM until it is stopped.

        -s, --settings FILE  YAML settings of this entry VM (docs/CONFIGURATION.md)
        -c, --check          check the settings and report the first error, but start nothing
        -h, --help           print this help

      SIGTERM starts a planned stop, which aborts no request. Exit codes: docs/CONFIGURATION.md
      """;

  private EntryMain() {}

  /** Runs the daemon until it is stopped; docs/CONFIGURATION.md lists the exit codes. */
  public static void main(String[] args) throws InterruptedException {
    Options options = options();
    CommandLine commandLine;
    try {
      commandLine = new DefaultParser().parse(options, args);
    } catch (ParseException e) {
      exitWithUsageError(e.getMessage());
      return;
    }
    if (commandLine.hasOption("help")) {
      System.out.print(HELP);
      return;
    }
    if (!commandLine.hasOption("settings")) {
      exitWithUsageError("option --settings is missing");
      return;
    }
    EntrySettings settings;
    try {
      settings = EntrySettings.read(Path.of(commandLine.getOptionValue("settings")));
    } catch (SettingsException e) {
      System.err.println("sageladder-entry: " + e.getMessage());
      System.exit(ExitCode.BAD_SETTINGS.status());
      return;
    }
    if (commandLine.hasOption("check")) {
      System.out.println("settings of " + settings.vm() + " are well formed");
      return;
    }
    FatalErrors.install();
    Logs.configure(settings.logs(), settings.vm());
    run(settings);
  }

  private static Options options() {
    return new Options()
        .addOption("s", "settings", true, "")
        .addOption("c", "check", false, "")
        .addOption("h", "help", false, "");
  }

  private static void exitWithUsageError(String problem) {
    System.err.println("sageladder-entry: " + problem + "; use " + SYNTAX);
    System.exit(ExitCode.USAGE.status());
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
            + " inner="
            + daemon.innerPort()
            + " operators="
            + daemon.operatorsPort());
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  try {
                    // The JDK closes the logs at the same time, so this is written to standard
                    // output.
                    System.out.println("stopped " + settings.vm() + " " + daemon.stop());
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                  // A JVM ended by SIGTERM exits with 143; a successful planned stop must exit with
                  // 0.
                  Runtime.getRuntime().halt(ExitCode.OK.status());
                },
                "stop"));
    daemon.awaitDrainRequest();
    System.exit(ExitCode.OK.status());
  }
}
