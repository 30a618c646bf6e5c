package org.sageladder.bench.fleet;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sageladder.bench.process.EntryProcess;
import org.sageladder.bench.process.StandIns;
import org.sageladder.core.event.Event;
import org.sageladder.platform.event.EventPage;
import org.sageladder.tools.http.BlockingHttpClient;

/** An entry VM process with access to its operator interface. */
public final class FleetVm {
  private static final int MAX_EVENT_PAGES = 50;

  private final EntryProcess process;
  private final BlockingHttpClient httpClient;
  private long eventCursor;

  private FleetVm(EntryProcess process, BlockingHttpClient httpClient) {
    this.process = process;
    this.httpClient = httpClient;
  }

  static FleetVm of(EntryProcess process, BlockingHttpClient httpClient) {
    return new FleetVm(process, httpClient);
  }

  /** Name of the VM. */
  public String name() {
    return process.vm();
  }

  /** Address that callers use. */
  public String callersAddress() {
    return process.callersAddress();
  }

  /** Zone of the VM. */
  public String zone() {
    return process.zone();
  }

  /** Whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process. */
  public void kill() throws InterruptedException {
    process.kill();
  }

  /** Suspends the process, as when its machine is paused. */
  public void pause() throws IOException, InterruptedException {
    process.pause();
  }

  /** Resumes a paused process. */
  public void resume() throws IOException, InterruptedException {
    process.resume();
  }

  /** Restarts the process with the same settings. */
  public void restart() throws IOException {
    process.restart();
    eventCursor = 0;
  }

  EntryProcess process() {
    return process;
  }

  private URI operators(String path) {
    return URI.create("http://" + StandIns.HOST + ":" + process.operatorsPort() + path);
  }

  /** Events since the previous call, in order. */
  public List<Event> newEvents() throws IOException {
    List<Event> events = new ArrayList<>();
    for (int i = 0; i < MAX_EVENT_PAGES; i++) {
      EventPage page =
          EventPage.fromJson(httpClient.get(operators("/v1/events?after=" + eventCursor)).body());
      if (page.lost() > 0) {
        throw new IOException(name() + " lost " + page.lost() + " events; read them more often");
      }
      events.addAll(page.events());
      eventCursor = page.next();
      if (page.events().isEmpty()) {
        return events;
      }
    }
    return events;
  }

  /** The state from the operator interface, as JSON. */
  public String stateJson() throws IOException {
    return httpClient.get(operators("/v1/state")).text();
  }

  /** All meter values by name and tags, in Prometheus notation. */
  public Map<String, Double> meters() throws IOException {
    Map<String, Double> meters = new TreeMap<>();
    for (String line : httpClient.get(operators("/v1/metrics")).text().split("\n")) {
      int space = line.lastIndexOf(' ');
      if (!line.startsWith("#") && space > 0) {
        meters.put(line.substring(0, space), Double.parseDouble(line.substring(space + 1)));
      }
    }
    return meters;
  }

  /** Processor time used by the process so far. */
  public long cpuMillis() {
    return process
        .processHandle()
        .info()
        .totalCpuDuration()
        .map(java.time.Duration::toMillis)
        .orElse(0L);
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
}
