package org.sageladder.tools.ctl;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sageladder.platform.settings.ExitCode;
import org.sageladder.platform.settings.Suggestion;

/**
 * {@code sageladderctl}: manages contracts and inspects entry VMs.
 *
 * <pre>{@code
 * ExitCode code = Ctl.run(new String[] {"check", "kannelkoda.yaml"}, System.out, System.err);
 * }</pre>
 */
public final class Ctl {
  private static final String NAME = "sageladderctl";

  private Ctl() {}

  /** Runs one command and exits the process with its exit code. */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err).status());
  }

  /**
   * Does the same as {@link #main}, without exiting the process; results go to {@code out}, errors
   * to {@code err}.
   */
  public static ExitCode run(String[] args, PrintStream out, PrintStream err) {
    if (args.length == 0 || args[0].equals("--help") || args[0].equals("help")) {
      out.print(help());
      return args.length == 0 ? ExitCode.USAGE : ExitCode.OK;
    }
    for (Command command : COMMANDS) {
      if (command.name().equals(args[0])) {
        return run(command, Arrays.copyOfRange(args, 1, args.length), out, err);
      }
    }
    List<String> names = COMMANDS.stream().map(Command::name).toList();
    String nearest = Suggestion.nearest(args[0], names);
    String suggestion = nearest == null ? "" : "; did you mean '" + nearest + "'?";
    err.println(
        NAME
            + ": no command '"
            + args[0]
            + "'"
            + suggestion
            + " Commands: "
            + String.join(", ", names));
    return ExitCode.USAGE;
  }

  private static ExitCode run(Command command, String[] args, PrintStream out, PrintStream err) {
    try {
      CommandLine commandLine = new DefaultParser().parse(command.options(), args);
      if (commandLine.hasOption("help")) {
        out.print(help(command));
        return ExitCode.OK;
      }
      int operands = commandLine.getArgList().size();
      if (operands < command.minOperands() || operands > command.maxOperands()) {
        throw Invocation.usage(
            "expected: " + synopsis(command) + ", not " + operands + " operands");
      }
      return command.body().run(new Invocation(commandLine, out, err));
    } catch (ParseException e) {
      err.println(NAME + " " + command.name() + ": " + e.getMessage() + "; see --help");
      return ExitCode.USAGE;
    } catch (CtlException e) {
      err.println(NAME + " " + command.name() + ": " + e.getMessage());
      return e.exitCode();
    } catch (IllegalStateException e) {
      err.println(NAME + " " + command.name() + ": internal error: " + e.getMessage());
      return ExitCode.INTERNAL;
    }
  }

  private static final List<Command> COMMANDS =
      List.of(
          new Command(
              "check",
              Command.Group.CONTRACTS,
              "FILE...",
              1,
              Integer.MAX_VALUE,
              "validate contract files, without the store",
              options(),
              ContractCommands::check),
          new Command(
              "diff",
              Command.Group.CONTRACTS,
              "FILE",
              1,
              1,
              "show what a file would change in the contract in force; exit 1 if anything",
              storeOptions(),
              ContractCommands::diff),
          new Command(
              "apply",
              Command.Group.CONTRACTS,
              "FILE",
              1,
              1,
              "apply a contract by compare-and-swap",
              storeOptions()
                  .addOption(
                      option(
                          ContractCommands.BASE,
                          "REVISION",
                          "revision that the change is based on, or 'latest'"))
                  .addOption(option(Invocation.AUTHOR, "NAME", "author of the change")),
              ContractCommands::apply),
          new Command(
              "show",
              Command.Group.CONTRACTS,
              "CUSTOMER",
              1,
              1,
              "print the accepted contract with its revision",
              storeOptions(),
              ContractCommands::show),
          new Command(
              "history",
              Command.Group.CONTRACTS,
              "CUSTOMER",
              1,
              1,
              "list who changed what, newest first",
              storeOptions()
                  .addOption(
                      option(
                          ContractCommands.CHANGE,
                          "ID",
                          "show whether this change, whose answer was lost, was accepted")),
              ContractCommands::history),
          new Command(
              "status",
              Command.Group.SYSTEM,
              "",
              0,
              0,
              "show revisions by entry VM and zone, views and gates; exit 1 if any lags or"
                  + " is silent",
              storeOptions()
                  .addOption(operators())
                  .addOption(
                      option(
                          StatusCommand.WAIT,
                          "REVISION",
                          "wait until this revision, or 'latest', is in force in every zone"))
                  .addOption(
                      option(
                          StatusCommand.WITHIN,
                          "DURATION",
                          "maximum time of this wait; default 10s")),
              StatusCommand::run),
          new Command(
              "drain",
              Command.Group.SYSTEM,
              "",
              0,
              0,
              "drain and stop entry VMs, one by one, and wait for each to end",
              options()
                  .addOption(operators())
                  .addOption(
                      option(SystemCommands.WAIT, "DURATION", "maximum wait for each; default 2m")),
              SystemCommands::drain),
          new Command(
              "explain",
              Command.Group.SYSTEM,
              "[REQUEST]",
              0,
              1,
              "explain how a request or look-up was routed",
              options()
                  .addOption(operators())
                  .addOption(option(SystemCommands.CONTRACT, "CUSTOMER", "customer of a look-up"))
                  .addOption(option(SystemCommands.SERVICE, "NAME", "service of a look-up"))
                  .addOption(option(SystemCommands.BLOCK, "N", "client block of a look-up")),
              SystemCommands::explain),
          new Command(
              "trace",
              Command.Group.SYSTEM,
              "REQUEST FILE...",
              2,
              Integer.MAX_VALUE,
              "show what determined a request's result, from entry VMs' log files",
              options(),
              TraceCommand::run));

  private static Options options() {
    return new Options()
        .addOption(
            option(Invocation.TIMEOUT, "DURATION", "maximum wait for one answer; default 5s"))
        .addOption(Option.builder().longOpt("help").desc("show this help").get());
  }

  private static Options storeOptions() {
    return options()
        .addOption(
            option(
                Invocation.STORE,
                "URI",
                "the platform's key-value service; default from "
                    + Invocation.STORE_ENVIRONMENT_VARIABLE));
  }

  private static Option operators() {
    return option(Invocation.OPERATORS, "IP:PORT,...", "operators' ports of entry VMs");
  }

  private static Option option(String name, String argument, String summary) {
    return Option.builder().longOpt(name).hasArg().argName(argument).desc(summary).get();
  }

  private static String synopsis(Command command) {
    return (NAME + " " + command.name() + " " + command.operands()).strip();
  }

  private static String help() {
    StringBuilder text = new StringBuilder();
    text.append("usage: ").append(NAME).append(" COMMAND [OPTIONS] [OPERANDS]\n");
    for (Command.Group group : Command.Group.values()) {
      text.append('\n').append(group.title()).append(":\n");
      for (Command command : COMMANDS) {
        if (command.group() == group) {
          text.append(
              String.format(
                  "  %-20s %s%n", command.name() + " " + command.operands(), command.summary()));
        }
      }
    }
    text.append("\n'").append(NAME).append(" COMMAND --help' shows a command's options.\n");
    text.append("Exit codes: ")
        .append(
            Arrays.stream(ExitCode.values())
                .map(code -> code.status() + " " + code.name())
                .collect(Collectors.joining(", ")))
        .append(".\n");
    return text.toString();
  }

  private static String help(Command command) {
    StringBuilder text = new StringBuilder();
    text.append("usage: ").append(synopsis(command)).append("\n");
    text.append(command.summary()).append("\n\n");
    for (Option option : command.options().getOptions()) {
      String argument = option.hasArg() ? " " + option.getArgName() : "";
      text.append(
          String.format(
              "  %-28s %s%n", "--" + option.getLongOpt() + argument, option.getDescription()));
    }
    return text.toString();
  }
}
