package org.sageladder.scenario.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An entry VM as a process of its own, started with the command of the deploy file. Signals are
 * sent to the id of this process only.
 *
 * <pre>{@code
 * EntryVmProcess vm = EntryVmProcess.create("entry-1", command, settingsText, folder);
 * vm.start();
 * vm.signal("STOP");
 * }</pre>
 */
final class EntryVmProcess {
  private static final String SETTINGS_VARIABLE = "SAGELADDER_SETTINGS";

  /** Exit codes after SIGKILL and after a graceful shutdown. */
  private static final Set<Integer> SIGNAL_EXIT_CODES = Set.of(137, 143);

  /** Exit code of a JVM that gets SIGTERM while it initialises itself. */
  private static final int UNINITIALIZED_EXIT_CODE = 1;

  private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

  static {
    Runtime.getRuntime().addShutdownHook(new Thread(EntryVmProcess::killAll, "kill-entry-vms"));
  }

  private final String name;
  private final List<String> command;
  private final Path checkout;
  private final Path settings;
  private final Path log;
  private Process process;
  private boolean isTerminated;

  private EntryVmProcess(
      String name, List<String> command, Path checkout, Path settings, Path log) {
    this.name = name;
    this.command = command;
    this.checkout = checkout;
    this.settings = settings;
    this.log = log;
  }

  /**
   * Writes the settings; the process is not started yet. Its output is appended to its log.
   *
   * @param program command line of an entry VM and the folder in which it is started
   * @param folder receives the settings and the log
   */
  static EntryVmProcess create(String name, Program program, String settingsText, Path folder)
      throws IOException {
    Path settings = folder.resolve(name + ".toml").toAbsolutePath();
    Files.writeString(settings, settingsText);
    Path log = folder.resolve(name + ".jsonl");
    return new EntryVmProcess(name, program.command(), program.checkout(), settings, log);
  }

  /**
   * The program of an entry VM.
   *
   * @param checkout folder in which it is started; relative paths of {@code command} begin here
   */
  record Program(List<String> command, Path checkout) {}

  private static void killAll() {
    STARTED.forEach(Process::destroyForcibly);
  }

  String name() {
    return name;
  }

  /** Starts the process, also again after it has ended. */
  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.directory(checkout.toFile());
    builder.environment().put(SETTINGS_VARIABLE, settings.toString());
    isTerminated = false;
    process = builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
    STARTED.removeIf(other -> !other.isAlive());
    STARTED.add(process);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Id of the process that was started last. */
  long pid() {
    return process.pid();
  }

  /** Kills the process with SIGKILL, also if it is stopped. */
  void kill() {
    process.destroyForcibly();
  }

  /** Asks for a planned stop with SIGTERM; returns the process, which may be replaced meanwhile. */
  Process terminate() {
    isTerminated = true;
    process.toHandle().destroy();
    return process;
  }

  /** Exit code of a process that has ended by itself and not by a signal of the runner. */
  Optional<Integer> unexpectedExitCode() {
    boolean isExpected =
        process.isAlive()
            || SIGNAL_EXIT_CODES.contains(process.exitValue())
            || (isTerminated && process.exitValue() == UNINITIALIZED_EXIT_CODE);
    return isExpected ? Optional.empty() : Optional.of(process.exitValue());
  }

  /** Sends a signal such as {@code STOP}, {@code CONT} or {@code HUP}. */
  void signal(String signal) throws IOException, InterruptedException {
    int exit =
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    if (exit != 0 && process.isAlive()) {
      throw new IOException("cannot send " + signal + " to process " + process.pid());
    }
  }
}
