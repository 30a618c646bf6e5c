package org.sageladder.bench.cluster;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One entry VM's process; signals go to this one by its id. */
public final class EntryProcess implements AutoCloseable {
  private static final long KILL_SECONDS = 10;

  private final String vm;
  private final String zone;
  private final Process process;
  private final Map<String, Integer> ports;

  private EntryProcess(String vm, String zone, Process process, Map<String, Integer> ports) {
    this.vm = vm;
    this.zone = zone;
    this.process = process;
    this.ports = ports;
  }

  /** A process that has been started and may not listen yet. */
  record Starting(String vm, String zone, Process process) {
    /** Waits for the line that names the ports. */
    EntryProcess ready() throws IOException {
      BufferedReader out =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      for (String line = out.readLine(); line != null; line = out.readLine()) {
        if (line.startsWith("ready ")) {
          return new EntryProcess(vm, zone, process, ports(line));
        }
      }
      throw new IOException("entry VM " + vm + " ended before it was ready; see its log");
    }
  }

  /** Starts {@code mainClass} with this process's class path; its log goes to {@code log}. */
  static Starting start(String vm, String zone, Path settings, int heapMegabytes, Path log)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-Xmx" + heapMegabytes + "m");
    command.add("-XX:+UseSerialGC");
    command.add("-XX:TieredStopAtLevel=1");
    command.add("-Xshare:auto");
    command.add("-cp");
    command.add(classPath());
    command.add("org.sageladder.entry.EntryMain");
    command.add("--settings");
    command.add(settings.toString());
    Process process =
        new ProcessBuilder(command)
            .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    return new Starting(vm, zone, process);
  }

  /** The test runner keeps its own class path apart from the one of the code under test. */
  private static String classPath() {
    return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
  }

  private static Map<String, Integer> ports(String readyLine) {
    Map<String, Integer> ports = new HashMap<>();
    for (String word : readyLine.split(" ", -1)) {
      int equals = word.indexOf('=');
      if (equals > 0) {
        ports.put(word.substring(0, equals), Integer.valueOf(word.substring(equals + 1)));
      }
    }
    return ports;
  }

  /** Name of the entry VM. */
  public String vm() {
    return vm;
  }

  /** Zone of the entry VM. */
  public String zone() {
    return zone;
  }

  /** Process id. */
  public long pid() {
    return process.pid();
  }

  /** {@code IP:PORT} for callers. */
  public String callersAddress() {
    return "127.0.0.1:" + callersPort();
  }

  /** TCP port for callers. */
  public int callersPort() {
    return ports.getOrDefault("callers", 0);
  }

  /** TCP port for operators. */
  public int operatorsPort() {
    return ports.getOrDefault("operators", 0);
  }

  /** TCP port of the inner protocol, 0 where the process has none. */
  public int innerPort() {
    return ports.getOrDefault("inner", 0);
  }

  /** True while the process runs, also while it is paused. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Stops the process where it stands, as a hypervisor does; it does not notice. */
  public void pause() throws IOException, InterruptedException {
    signal("STOP");
  }

  /** Lets a paused process go on. */
  public void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  private void signal(String name) throws IOException, InterruptedException {
    int exit = new ProcessBuilder("kill", "-" + name, String.valueOf(pid())).start().waitFor();
    if (exit != 0) {
      throw new IOException("cannot send " + name + " to process " + pid());
    }
  }

  /** Ends the process at once, as a crash does. */
  public void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  /** Asks for a planned stop and returns at once. */
  public void beginStop() {
    process.destroy();
  }

  /** Waits for the end of the process; its exit code, or -1 where it is still running then. */
  public int awaitExit(long seconds) throws InterruptedException {
    return process.waitFor(seconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(KILL_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
