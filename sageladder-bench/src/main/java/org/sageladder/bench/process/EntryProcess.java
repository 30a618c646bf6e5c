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
 * One entry daemon in a process of its own, which can be killed, paused, stopped and restarted; all
 * signals go to this one process by its id.
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
    // A bench that exits or is ended must not leave its daemons behind.
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
   * Starts a daemon and returns once its ports are open; settings and log are in {@code folder}.
   */
  public static EntryProcess start(EntryOptions options, Path folder) throws IOException {
    EntryProcess entry = launch(options, folder);
    entry.awaitReady();
    return entry;
  }

  /** Starts a daemon and returns at once; it has no ports before {@link #awaitReady}. */
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

  /** The test runner keeps its own class path apart from the one of the code under test. */
  static String classPath() {
    return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
  }

  /** Waits for the line that names the ports. */
  public void awaitReady() throws IOException {
    BufferedReader out = process.inputReader(StandardCharsets.UTF_8);
    for (String line = out.readLine(); line != null; line = out.readLine()) {
      if (line.startsWith("ready ")) {
        ports = parsePorts(line);
        return;
      }
    }
    throw new IOException(
        "entry VM " + vm() + " ended before it was ready; its log is\n" + Files.readString(log));
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

  /** Starts the daemon anew after its end, on the same ports for callers and the inner protocol. */
  public void restart() throws IOException {
    process = startProcess();
    awaitReady();
  }

  /** Ends the process at once, as a crash would. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** SIGTERM: asks for a planned stop; returns at once. */
  public void terminate() {
    process.toHandle().destroy(); // unlike Process.destroy, it leaves the output open
  }

  /** Exit code, or -1 where the process has not ended within {@code seconds}. */
  public int awaitEnd(long seconds) throws InterruptedException {
    return process.waitFor(seconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }

  /** What an ended daemon printed last of itself: how its planned stop went. */
  public String lastOutputLine() throws IOException {
    return process.inputReader(StandardCharsets.UTF_8).lines().reduce("", (first, last) -> last);
  }

  /** SIGSTOP: the process stands still, as by a hypervisor's doing, and does not know it. */
  public void pause() throws IOException, InterruptedException {
    sendSignal("STOP");
  }

  /** SIGCONT: a paused process goes on. */
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

  /** Where the process writes its log. */
  public Path log() {
    return log;
  }

  /** {@code IP:PORT} for callers. */
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

  /** The process itself, for what the system tells of it. */
  public ProcessHandle processHandle() {
    return process.toHandle();
  }

  /** True while the process runs, also while it is paused. */
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
