package org.sageladder.bench.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * An entry daemon in a separate process, which can be killed, paused, stopped and restarted.
 * Signals are sent to the id of this process only.
 *
 * <pre>{@code
 * try (EntryProcess entry = EntryProcess.start(options, folder)) {
 *   entry.pause();
 *   entry.resume();
 * }
 * }</pre>
 */
public final class EntryProcess implements AutoCloseable {
  private static final long MAX_KILL_SECONDS = 10;
  private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

  static {
    // Ends the daemons when the benchmark exits or is terminated.
    Runtime.getRuntime().addShutdownHook(new Thread(EntryProcess::killAll, "kill-entries"));
  }

  private final EntryOptions options;
  private final Path settings;
  private final Path log;
  private Process process;
  private Map<String, Integer> ports = Map.of();

  private EntryProcess(EntryOptions options, Path folder) throws IOException {
    this.options = options;
    this.settings = folder.resolve(options.vm() + ".yaml");
    this.log = folder.resolve(options.vm() + ".log");
    this.process = startProcess();
  }

  private static void killAll() {
    STARTED.forEach(Process::destroyForcibly);
  }

  /**
   * Starts a daemon and waits until its ports are open; its settings and log are in {@code folder}.
   */
  public static EntryProcess start(EntryOptions options, Path folder) throws IOException {
    EntryProcess entry = launch(options, folder);
    entry.awaitReady();
    return entry;
  }

  /** Starts a daemon without waiting; its ports are known after {@link #awaitReady}. */
  public static EntryProcess launch(EntryOptions options, Path folder) throws IOException {
    return new EntryProcess(options, folder);
  }

  private Process startProcess() throws IOException {
    Files.writeString(settings, options.toYaml(callersPort(), innerPort()));
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-XX:+UseSerialGC");
    command.add("-XX:TieredStopAtLevel=1");
    command.add("-Xmx" + options.heapMegabytes() + "m");
    command.addAll(options.jvmOptions());
    command.add("-cp");
    command.add(classPath());
    command.add("org.sageladder.entry.EntryMain");
    command.add("--settings");
    command.add(settings.toString());
    Process started =
        new ProcessBuilder(command)
            .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    STARTED.removeIf(other -> !other.isAlive());
    STARTED.add(started);
    return started;
  }

  /** Class path of the code under test, which Surefire passes in a separate system property. */
  static String classPath() {
    return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
  }

  /** Waits for the output line that contains the ports. */
  public void awaitReady() throws IOException {
    BufferedReader out = process.inputReader(StandardCharsets.UTF_8);
    for (String line = out.readLine(); line != null; line = out.readLine()) {
      if (line.startsWith("ready ")) {
        ports = parsePorts(line);
        return;
      }
    }
    throw new IOException(
        "entry VM " + vm() + " exited before it was ready; its log:\n" + Files.readString(log));
  }

  private static Map<String, Integer> parsePorts(String readyLine) {
    Map<String, Integer> ports = new HashMap<>();
    for (String word : readyLine.split(" ", -1)) {
      int equals = word.indexOf('=');
      if (equals > 0) {
        ports.put(word.substring(0, equals), Integer.valueOf(word.substring(equals + 1)));
      }
    }
    return ports;
  }

  /** Restarts a daemon that has ended, on the same ports for callers and the inner protocol. */
  public void restart() throws IOException {
    process = startProcess();
    awaitReady();
  }

  /** Kills the process, as a crash would. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Sends SIGTERM, which requests a planned stop, without waiting for it. */
  public void terminate() {
    process.toHandle().destroy(); // unlike Process.destroy, this leaves the output stream open
  }

  /** Exit code, or -1 if the process has not ended within {@code seconds}. */
  public int awaitEnd(long seconds) throws InterruptedException {
    return process.waitFor(seconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }

  /** Last line of the output of an ended daemon, which reports the result of a planned stop. */
  public String lastOutputLine() throws IOException {
    return process.inputReader(StandardCharsets.UTF_8).lines().reduce("", (first, last) -> last);
  }

  /** Sends SIGSTOP, which suspends the process without its knowledge, as a hypervisor can. */
  public void pause() throws IOException, InterruptedException {
    sendSignal("STOP");
  }

  /** Sends SIGCONT, which resumes a paused process. */
  public void resume() throws IOException, InterruptedException {
    sendSignal("CONT");
  }

  private void sendSignal(String name) throws IOException, InterruptedException {
    int exit = new ProcessBuilder("kill", "-" + name, String.valueOf(pid())).start().waitFor();
    if (exit != 0) {
      throw new IOException("cannot send " + name + " to process " + pid());
    }
  }

  /** Name of the entry VM. */
  public String vm() {
    return options.vm();
  }

  /** Its availability zone. */
  public String zone() {
    return options.zone();
  }

  /** Log file of the process. */
  public Path log() {
    return log;
  }

  /** Address for callers, {@code IP:PORT}. */
  public String callersAddress() {
    return StandIns.HOST + ":" + callersPort();
  }

  /** TCP port for callers. */
  public int callersPort() {
    return ports.getOrDefault("callers", 0);
  }

  /** TCP port for operators. */
  public int operatorsPort() {
    return ports.getOrDefault("operators", 0);
  }

  /** TCP port of the inner protocol. */
  public int innerPort() {
    return ports.getOrDefault("inner", 0);
  }

  /** Process id. */
  public long pid() {
    return process.pid();
  }

  /** Handle of the process, for the information that the operating system provides on it. */
  public ProcessHandle processHandle() {
    return process.toHandle();
  }

  /** True while the process exists, even if it is paused. */
  public boolean isAlive() {
    return process.isAlive();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(MAX_KILL_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
