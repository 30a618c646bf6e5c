package org.sageladder.tools.timeline;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.Event;
import org.sageladder.platform.settings.ExitCode;
import org.sageladder.platform.settings.SettingPatterns;
import org.sageladder.tools.http.BlockingHttpClient;

/** Entry point of {@code sageladder-timeline}. */
public final class TimeLineMain {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final String USAGE =
      "sageladder-timeline --operators IP:PORT[,IP:PORT...] [options]";

  private TimeLineMain() {}

  /** Fetches the events and prints the time line; exits with the status of an {@link ExitCode}. */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err).status());
  }

  /**
   * Does the same as {@link #main}, without exiting the process. A process that does not answer is
   * reported on {@code err} and skipped; if none answers, the exit code is {@code UNAVAILABLE}.
   */
  public static ExitCode run(String[] args, PrintStream out, PrintStream err) {
    Options options = options();
    try {
      CommandLine commandLine = new DefaultParser().parse(options, args);
      if (commandLine.hasOption("help")) {
        help(options, out);
        return ExitCode.OK;
      }
      if (!commandLine.getArgList().isEmpty()) {
        throw new ParseException("unexpected '" + commandLine.getArgList().get(0) + "'");
      }
      return printTimeLine(commandLine, out, err);
    } catch (ParseException e) {
      err.println(e.getMessage() + "; see --help");
      return ExitCode.USAGE;
    } catch (IOException e) {
      err.println(e.getMessage());
      return ExitCode.UNAVAILABLE;
    }
  }

  private static ExitCode printTimeLine(CommandLine commandLine, PrintStream out, PrintStream err)
      throws ParseException, IOException {
    List<URI> operators = parseAddresses(commandLine.getOptionValue("operators"));
    TimeLineFormat format = parseFormat(commandLine.getOptionValue("format", "text"));
    Predicate<Event> filter =
        EventFilter.of(
            commandLine.getOptionValue("request"),
            commandLine.getOptionValue("contract"),
            commandLine.getOptionValue("target"),
            parseRevision(commandLine.getOptionValue("revision")));
    List<ProcessEvents> fetched = fetchAll(operators, err);
    if (fetched.isEmpty()) {
      err.println("no process answered");
      return ExitCode.UNAVAILABLE;
    }
    String text = format.write(TimeLine.merge(fetched), filter);
    String file = commandLine.getOptionValue("output");
    if (file == null) {
      out.print(text);
    } else {
      Files.writeString(Path.of(file), text, StandardCharsets.UTF_8);
    }
    return ExitCode.OK;
  }

  /**
   * Fetches the events of all processes; those that do not answer are reported on {@code err} and
   * skipped.
   */
  public static List<ProcessEvents> fetchAll(List<URI> operators, PrintStream err) {
    List<ProcessEvents> fetched = new ArrayList<>();
    try (BlockingHttpClient client = BlockingHttpClient.withTimeout(CALL_TIMEOUT)) {
      for (URI uri : operators) {
        try {
          fetched.add(EventFetcher.of(uri, client).fetch());
        } catch (IOException e) {
          err.println("skipped: " + e.getMessage());
        }
      }
    }
    return fetched;
  }

  /**
   * Parses a list of operators' addresses such as {@code 10.0.0.7:8082,10.0.1.7:8082}.
   *
   * @throws ParseException if the list is missing or contains an invalid address
   */
  public static List<URI> parseAddresses(@Nullable String text) throws ParseException {
    if (text == null) {
      throw new ParseException("no process given; give --operators IP:PORT[,IP:PORT...]");
    }
    List<URI> uris = new ArrayList<>();
    for (String address : text.split(",")) {
      if (!SettingPatterns.ADDRESS.matcher(address).matches()) {
        throw new ParseException(
            "--operators '"
                + address
                + "' is not allowed; give "
                + SettingPatterns.ADDRESS_ALLOWED);
      }
      uris.add(URI.create("http://" + address));
    }
    return uris;
  }

  private static TimeLineFormat parseFormat(String name) throws ParseException {
    return switch (name) {
      case "text" -> TimeLineFormat.text();
      case "json" -> TimeLineFormat.json();
      case "html" -> TimeLineFormat.html();
      default ->
          throw new ParseException(
              "--format '"
                  + name
                  + "' is not allowed; give one of "
                  + String.join(", ", TimeLineFormat.names()));
    };
  }

  private static @Nullable Long parseRevision(@Nullable String text) throws ParseException {
    if (text == null) {
      return null;
    }
    try {
      return Long.valueOf(text);
    } catch (NumberFormatException e) {
      throw new ParseException("--revision '" + text + "' is not allowed; give a whole number");
    }
  }

  private static Options options() {
    return new Options()
        .addOption(option("operators", "IP:PORT,...", "operators' ports of the entry VMs to query"))
        .addOption(option("request", "ID", "only events about that request"))
        .addOption(option("contract", "CUSTOMER", "only events about that customer's contract"))
        .addOption(option("target", "NAME", "only events about that target, peer or zone"))
        .addOption(option("revision", "N", "only events about that revision or view number"))
        .addOption(option("format", "FORMAT", "text, json or html; default text"))
        .addOption(option("output", "FILE", "write to this file instead of standard output"))
        .addOption(Option.builder().longOpt("help").desc("show this help").get());
  }

  private static Option option(String name, String argument, String summary) {
    return Option.builder().longOpt(name).hasArg().argName(argument).desc(summary).get();
  }

  private static void help(Options options, PrintStream out) {
    PrintWriter writer = new PrintWriter(out, true, StandardCharsets.UTF_8);
    writer.println("usage: " + USAGE);
    for (Option option : options.getOptions()) {
      String argument = option.hasArg() ? " " + option.getArgName() : "";
      writer.printf("  %-26s %s%n", "--" + option.getLongOpt() + argument, option.getDescription());
    }
  }
}
