package org.sageladder.forward;

import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;

/**
 * Ends a forwarder within the grace period of a planned stop without cutting off requests. All
 * times count from the stop signal, however late the event loop takes it up.
 *
 * <p>The forwarder first goes on serving callers that have a look-up result from before, then
 * closes its port and waits for the requests in flight. Those that are left shortly before the end
 * get an error response.
 *
 * <pre>{@code
 * GracefulShutdown.of(forwarder, loop, log, "e-1", 6_000).begin(signalledAtMillis, onEnd);
 * }</pre>
 */
public final class GracefulShutdown {
  private static final long POLL_INTERVAL_MILLIS = 50;

  private final Forwarder forwarder;
  private final Loop loop;
  private final EventSink log;
  private final String vmName;
  private final long graceMillis;
  private long signalledAtMillis;
  private long takeUpDelayMillis;
  private Runnable onEnd = () -> {};
  private int abandonedCount;
  private boolean isEnded;

  private GracefulShutdown(
      Forwarder forwarder, Loop loop, EventSink log, String vmName, long graceMillis) {
    this.forwarder = forwarder;
    this.loop = loop;
    this.log = log;
    this.vmName = vmName;
    this.graceMillis = graceMillis;
  }

  /**
   * Creates a shutdown that has not begun.
   *
   * @param graceMillis time from the stop signal until the process is killed
   */
  public static GracefulShutdown of(
      Forwarder forwarder, Loop loop, EventSink log, String vmName, long graceMillis) {
    return new GracefulShutdown(forwarder, loop, log, vmName, graceMillis);
  }

  /**
   * Begins the shutdown; must be called on the event loop.
   *
   * @param signalMillis when the stop signal came, by the clock of the loop
   * @param endListener called once, when the process may exit
   */
  public void begin(long signalMillis, Runnable endListener) {
    signalledAtMillis = signalMillis;
    onEnd = endListener;
    log.record(
        EventKind.STOPPING,
        "",
        "",
        vmName,
        0,
        forwarder.inFlightCount() + " in flight, taken up " + describeElapsed());
    takeUpDelayMillis = elapsedMillis();
    step();
  }

  /** Runs what is due; later steps are planned anew, as the loop may have become later. */
  private void step() {
    if (isEnded) {
      return;
    }
    ShutdownSchedule schedule =
        ShutdownSchedule.of(
            graceMillis, Math.max(takeUpDelayMillis, forwarder.recentLoopDelayMillis()));
    long elapsedMillis = elapsedMillis();
    forwarder.beginShutdown(signalledAtMillis, signalledAtMillis + schedule.admissionMillis());
    if (elapsedMillis >= schedule.responseMillis()) {
      endRequests();
    }
    if (elapsedMillis >= schedule.listenMillis()) {
      forwarder.stopListening();
      if (forwarder.isIdle()) {
        end("all requests ended");
        return;
      }
    }
    if (elapsedMillis >= schedule.exitMillis()) {
      end(forwarder.callerConnections().describe());
      return;
    }
    var unused = loop.schedule(POLL_INTERVAL_MILLIS, this::step);
  }

  private void endRequests() {
    abandonedCount += forwarder.inFlightCount();
    forwarder.abandonAll();
  }

  private void end(String state) {
    isEnded = true;
    endRequests();
    forwarder.callerConnections().closeAll();
    String how = abandonedCount == 0 ? state : abandonedCount + " requests did not end in time";
    log.record(EventKind.STOPPED, "", "", vmName, 0, how + ", " + describeElapsed());
    onEnd.run();
  }

  private long elapsedMillis() {
    return loop.nowMillis() - signalledAtMillis;
  }

  private String describeElapsed() {
    return elapsedMillis() + " ms after the signal";
  }
}
