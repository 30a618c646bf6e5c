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
  /**
   * Time for which the port stays open. Readiness is probed each second and look-up results are
   * cached for two seconds, so that after this time no caller that respects its look-up connects
   * any more.
   */
  private static final long LISTEN_MILLIS = 3_000;

  /** Remainder of the grace period in which requests that are left get a response. */
  private static final long RESPONSE_MARGIN_MILLIS = 250;

  /** Remainder of the grace period in which the process exits, even if callers still read. */
  private static final long EXIT_MARGIN_MILLIS = 100;

  /** Bound on the remainder in which requests get a response, as a fraction of the grace period. */
  private static final double MAX_MARGIN_FRACTION = 1.0 / 6;

  private static final long POLL_INTERVAL_MILLIS = 50;

  private final Forwarder forwarder;
  private final Loop loop;
  private final EventSink log;
  private final String vmName;
  private final long graceMillis;
  private long signalledAtMillis;
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
    long requestEndMillis = signalMillis + graceMillis - responseMarginMillis();
    forwarder.beginShutdown(signalMillis, requestEndMillis);
    scheduleAt(Math.min(signalMillis + LISTEN_MILLIS, requestEndMillis), this::endWhenIdle);
    scheduleAt(requestEndMillis, this::endRequests);
    scheduleAt(signalMillis + graceMillis - EXIT_MARGIN_MILLIS, this::end);
  }

  /** A loop that was late before will be late again as the time runs out. */
  private long responseMarginMillis() {
    return Math.min(
        Math.round(graceMillis * MAX_MARGIN_FRACTION),
        RESPONSE_MARGIN_MILLIS + forwarder.recentLoopDelayMillis());
  }

  private void scheduleAt(long atMillis, Runnable task) {
    var unused = loop.schedule(atMillis - loop.nowMillis(), task);
  }

  private void endWhenIdle() {
    if (isEnded) {
      return;
    }
    forwarder.stopListening();
    if (forwarder.isIdle()) {
      end();
      return;
    }
    var unused = loop.schedule(POLL_INTERVAL_MILLIS, this::endWhenIdle);
  }

  private void endRequests() {
    if (!isEnded) {
      abandonedCount = forwarder.inFlightCount();
      forwarder.abandonAll();
    }
  }

  private void end() {
    if (isEnded) {
      return;
    }
    isEnded = true;
    forwarder.abandonAll();
    forwarder.callerConnections().closeAll();
    String how =
        abandonedCount == 0
            ? "all requests ended, "
            : abandonedCount + " requests did not end in time, ";
    log.record(EventKind.STOPPED, "", "", vmName, 0, how + describeElapsed());
    onEnd.run();
  }

  private String describeElapsed() {
    return loop.nowMillis() - signalledAtMillis + " ms after the signal";
  }
}
