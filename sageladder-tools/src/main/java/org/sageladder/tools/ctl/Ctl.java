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
 * {@code sageladderctl}: what operators do with contracts and entry VMs.
 *
 * <pre>{@code
 * ExitCode code = Ctl.run(new String[] {"check", "kannelkoda.yaml"}, System.out, System.err);
 * }</pre>
 */
public final class Ctl {
  private static final String NAME = "sageladderctl";

  private Ctl() {}

  /** Runs one command and ends the process with its exit code. */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err).status());
  }

  /**
   * As {@link #main}, without ending the process; results go to {@code out}, faults to {@code err}.
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
      err.println(NAME + " " + command.name() + ": internal fault: " + e.getMessage());
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
              "check contract files, without the store",
              options(),
              ContractCommands::check),
          new Command(
              "diff",
              Command.Group.CONTRACTS,
              "FILE",
              1,
              1,
              "what a file would change of the contract in force; exit 1 where it would",
              storeOptions(),
              ContractCommands::diff),
          new Command(
              "apply",
              Command.Group.CONTRACTS,
              "FILE",
              1,
              1,
              "have a contract accepted by compare-and-swap",
              storeOptions()
                  .addOption(
                      option(
                          ContractCommands.BASE,
                          "REVISION",
                          "revision that the change starts from, or 'latest'"))
                  .addOption(option(Invocation.AUTHOR, "NAME", "who makes the change")),
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
              "who changed what, newest first",
              storeOptions()
                  .addOption(
                      option(
                          ContractCommands.CHANGE,
                          "ID",
                          "tell whether this change, whose answer was lost, was accepted")),
              ContractCommands::history),
          new Command(
              "status",
              Command.Group.SYSTEM,
              "",
              0,
              0,
              "revisions by entry VM and zone, views and gates; exit 1 where one is behind or silent",
              storeOptions()
                  .addOption(operators())
                  .addOption(
                      option(
                          StatusCommand.WAIT,
                          "REVISION",
                          "wait until this revision, or 'latest', is in force in every zone"))
                  .addOption(option(StatusCommand.WITHIN, "DURATION", "longest such wait; 10s")),
              StatusCommand::run),
          new Command(
              "drain",
              Command.Group.SYSTEM,
              "",
              0,
              0,
              "begin planned stops of entry VMs, one by one, and wait for each to end",
              options()
                  .addOption(operators())
                  .addOption(option(SystemCommands.WAIT, "DURATION", "longest wait for each; 2m")),
              SystemCommands::drain),
          new Command(
              "explain",
              Command.Group.SYSTEM,
              "[REQUEST]",
              0,
              1,
              "why a request or look-up went where it did",
              options()
                  .addOption(operators())
                  .addOption(option(SystemCommands.CONTRACT, "CUSTOMER", "of a look-up"))
                  .addOption(option(SystemCommands.SERVICE, "NAME", "of a look-up"))
                  .addOption(option(SystemCommands.BLOCK, "N", "client block of a look-up")),
              SystemCommands::explain),
          new Command(
              "trace",
              Command.Group.SYSTEM,
              "REQUEST FILE...",
              2,
              Integer.MAX_VALUE,
              "what decided a request, out of entry VMs' log files",
              options(),
              TraceCommand::run));

  private static Options options() {
    return new Options()
        .addOption(option(Invocation.TIMEOUT, "DURATION", "longest wait for one answer; 5s"))
        .addOption(Option.builder().longOpt("help").desc("show this").get());
  }

  private static Options storeOptions() {
    return options()
        .addOption(
            option(
                Invocation.STORE,
                "URI",
                "the platform's key-value service; else from "
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
