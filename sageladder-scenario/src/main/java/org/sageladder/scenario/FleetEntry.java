package org.sageladder.scenario;

import java.util.List;
import org.sageladder.adapter.PlatformEntry;
import org.sageladder.adapter.PlatformSettings;
import org.sageladder.standin.network.SimulatedHost;
import org.sageladder.standin.platform.PlatformTexts;

/** An entry VM: its host and the process on the host. */
public final class FleetEntry {
  /** Ports for callers, readiness checks, look-ups and metrics, in this order. */
  private static final List<Integer> PORTS = List.of(8381, 8388, 8383, 7200);

  /** The platform restarts a process that has ended after this time. */
  private static final long RESTART_DELAY_MILLIS = 500;

  private final FleetContext context;
  private final String name;
  private final SimulatedHost host;
  private PlatformEntry process;
  private boolean running;
  private Runnable onNextStart = () -> {};

  FleetEntry(FleetContext context, String name, SimulatedHost host) {
    this.context = context;
    this.name = name;
    this.host = host;
  }

  /** Its name. */
  public String name() {
    return name;
  }

  /** Its host. */
  public SimulatedHost host() {
    return host;
  }

  /** Port to which callers connect. */
  public int callersPort() {
    return PORTS.get(0);
  }

  void start() {
    running = true;
    String settings =
        PlatformTexts.settings(
            name,
            host.ip(),
            host.zone(),
            context.deployment().regionByZone(),
            PORTS,
            context.storeHost().ip() + ':' + FleetContext.STORE_PORT);
    process =
        PlatformEntry.start(
            PlatformSettings.parse(settings),
            context.network().processLoop(host),
            context.logs().sinkOf(name, context.loop()::nowMillis),
            () -> 0);
    Runnable listener = onNextStart;
    onNextStart = () -> {};
    listener.run();
  }

  /** Calls {@code listener} once, when its process has been started again. */
  public void onNextStart(Runnable listener) {
    onNextStart = listener;
  }

  /** Kills its process; the platform restarts it. */
  public void kill() {
    host.kill();
    running = false;
    scheduleStart(RESTART_DELAY_MILLIS);
  }

  /** Powers its host off for {@code millis}. */
  public void powerOff(long millis) {
    context.network().powerOff(host);
    running = false;
    context.runAfter(millis, host::powerOn);
    scheduleStart(millis);
  }

  /** Suspends its host for {@code millis}. */
  public void suspend(long millis) {
    host.suspend();
    context.runAfter(millis, host::resume);
  }

  /** Stops its process gracefully, within the grace time, and restarts it. */
  public void stopAndRestart() {
    PlatformEntry stopping = process;
    Runnable end =
        () -> {
          if (process == stopping && running) {
            kill();
          }
        };
    stopping.beginShutdown(end);
    context.runAfter(context.day().bounds().graceMillis(), end);
  }

  /** Address of its look-up port. */
  String lookUpAddress() {
    return host.ip() + ':' + PORTS.get(2);
  }

  private void scheduleStart(long millis) {
    context.runAfter(
        millis,
        () -> {
          if (!running && host.isPowered()) {
            start();
          }
        });
  }
}
