package org.sageladder.bench.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.sageladder.core.event.Event;
import org.sageladder.platform.event.EventPage;
import org.sageladder.tools.http.HttpCaller;

/** One entry VM's process. */
public final class FleetVm {
  private static final int MOST_PAGES = 50;

  private final String name;
  private final String zone;
  private final Path settings;
  private final Path log;
  private final List<String> jvmOptions;
  private final HttpCaller caller;
  private Process process;
  private URI operators = URI.create("http://127.0.0.1:1");
  private String callers = "";
  private long eventCursor;

  private FleetVm(
      String name, String zone, Path settings, Path log, List<String> jvmOptions, HttpCaller caller)
      throws IOException {
    this.name = name;
    this.zone = zone;
    this.settings = settings;
    this.log = log;
    this.jvmOptions = jvmOptions;
    this.caller = caller;
    this.process = launch();
  }

  static FleetVm launch(
      String name, String zone, Path settings, Path log, List<String> jvmOptions, HttpCaller caller)
      throws IOException {
    return new FleetVm(name, zone, settings, log, jvmOptions, caller);
  }

  private Process launch() throws IOException {
    List<String> command = new ArrayList<>();
    command.add(ClassArchive.java());
    command.addAll(jvmOptions);
    command.addAll(
        List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:-UsePerfData",
            "-Xss256k",
            "-Xms8m",
            "-cp",
            System.getProperty("java.class.path"),
            "org.sageladder.entry.EntryMain",
            "--settings",
            settings.toString()));
    return new ProcessBuilder(command)
        .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
        .start();
  }

  /** Waits for the line that names the ports. */
  void awaitStarted() throws IOException {
    BufferedReader out =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String line = out.readLine();
    if (line == null || !line.startsWith("ready ")) {
      throw new IOException(name + " did not start: " + line + "\n" + Files.readString(log));
    }
    int callersAt = line.indexOf("callers=") + "callers=".length();
    callers = "127.0.0.1:" + line.substring(callersAt).split(" ")[0];
    int at = line.indexOf("operators=") + "operators=".length();
    operators = URI.create("http://127.0.0.1:" + line.substring(at).strip());
    eventCursor = 0;
  }

  /** Name of the VM. */
  public String name() {
    return name;
  }

  /** Address that callers use. */
  public String callers() {
    return callers;
  }

  /** Zone of the VM. */
  public String zone() {
    return zone;
  }

  /** Whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Ends the process at once. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Stops the process from running, as a paused machine does. */
  public void pause() throws IOException, InterruptedException {
    signal("-STOP");
  }

  /** Lets a paused process go on. */
  public void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  /** Starts the process anew with the same settings. */
  public void restart() throws IOException {
    process = launch();
    awaitStarted();
  }

  private void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Events since the last call, in order. */
  public List<Event> newEvents() throws IOException {
    List<Event> events = new ArrayList<>();
    for (int i = 0; i < MOST_PAGES; i++) {
      EventPage page =
          EventPage.fromJson(
              caller.get(operators.resolve("/v1/events?after=" + eventCursor)).body());
      if (page.lost() > 0) {
        throw new IOException(name + " lost " + page.lost() + " events; read them more often");
      }
      events.addAll(page.events());
      eventCursor = page.next();
      if (page.events().isEmpty()) {
        return events;
      }
    }
    return events;
  }

  /** The state that operators see, as JSON. */
  public String state() throws IOException {
    return caller.get(operators.resolve("/v1/state")).text();
  }

  /** All meters by name and tags, as Prometheus writes them. */
  public Map<String, Double> meters() throws IOException {
    Map<String, Double> meters = new TreeMap<>();
    for (String line : caller.get(operators.resolve("/v1/metrics")).text().split("\n")) {
      int space = line.lastIndexOf(' ');
      if (!line.startsWith("#") && space > 0) {
        meters.put(line.substring(0, space), Double.parseDouble(line.substring(space + 1)));
      }
    }
    return meters;
  }

  /** Processor time used by the process so far. */
  public long cpuMillis() {
    return process.info().totalCpuDuration().map(java.time.Duration::toMillis).orElse(0L);
  }

  /** Resident memory of the process in kilobytes. */
  public long residentKilobytes() throws IOException {
    Path status = Path.of("/proc", Long.toString(process.pid()), "status");
    for (String line : Files.readAllLines(status)) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", ""));
      }
    }
    return 0;
  }

  void end() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(5, TimeUnit.SECONDS);
  }
}
