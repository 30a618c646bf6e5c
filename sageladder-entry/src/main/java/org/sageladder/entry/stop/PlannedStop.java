package org.sageladder.entry.stop;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.sageladder.core.permit.PermitHome;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.control.ControlPlane;
import org.sageladder.entry.exchange.InFlightCounter;

/**
 * Takes an entry VM out of service without aborting in-flight requests.
 *
 * <p>The steps, each with a time limit and all with a common one: announce that this VM is leaving,
 * so that look-ups stop naming it and its targets get other holders; serve callers that use older
 * look-ups until these have expired; let runs under permits end and hand the permit states over to
 * a successor; wait for the last exchange.
 */
public final class PlannedStop {
  /**
   * Times of the steps.
   *
   * @param propagationDelay minimum wait for the announcement to reach look-ups at other entry VMs
   * @param quietPeriod time without requests after which no caller is assumed to use an older
   *     look-up
   * @param maxLookUpExpiryWait maximum wait for that quiet period
   * @param maxRunWait maximum wait for runs under permits
   * @param maxExchangeWait maximum wait for all other exchanges
   * @param maxDuration maximum time of all steps together
   */
  public record Limits(
      Duration propagationDelay,
      Duration quietPeriod,
      Duration maxLookUpExpiryWait,
      Duration maxRunWait,
      Duration maxExchangeWait,
      Duration maxDuration) {
    /**
     * Look-ups expire after 2 s, and the announcement takes up to 1 s more. Service managers
     * usually kill a process that has not ended 90 s after its stop signal.
     */
    public static Limits standard() {
      return new Limits(
          Duration.ofMillis(700),
          Duration.ofMillis(500),
          Duration.ofSeconds(3),
          Duration.ofSeconds(30),
          Duration.ofSeconds(60),
          Duration.ofSeconds(80));
    }
  }

  /**
   * Result of a stop and the time that each step took. It is printed when the process stops, with
   * these component names.
   *
   * @param newcomers time until no caller used an older look-up any more
   * @param runs time until the runs under permits had ended
   * @param handOver time until the successor had the permit states
   * @param exchanges time until the last exchange had ended
   */
  public record Outcome(
      boolean handedOver,
      int exchangesCut,
      Duration newcomers,
      Duration runs,
      Duration handOver,
      Duration exchanges) {}

  private static final Duration POLL_INTERVAL = Duration.ofMillis(5);
  private static final Duration MIN_IDLE_TIME = Duration.ofMillis(300);

  /** Fraction of the time that is left which runs leave for the hand-over and the exchanges. */
  private static final double TIME_AFTER_RUNS_FRACTION = 1.0 / 4;

  private final ControlPlane control;
  private final InFlightCounter inFlight;
  private final PermitHome issuer;
  private final PermitHandOver handOver;
  private final TimeSource time;
  private final Limits limits;
  private long endNanos;

  private PlannedStop(
      ControlPlane control,
      InFlightCounter inFlight,
      PermitHome issuer,
      PermitHandOver handOver,
      TimeSource time,
      Limits limits) {
    this.control = control;
    this.inFlight = inFlight;
    this.issuer = issuer;
    this.handOver = handOver;
    this.time = time;
    this.limits = limits;
  }

  /** Creates a stop without starting it. */
  public static PlannedStop of(
      ControlPlane control,
      InFlightCounter inFlight,
      PermitHome issuer,
      PermitHandOver handOver,
      TimeSource time,
      Limits limits) {
    return new PlannedStop(control, inFlight, issuer, handOver, time, limits);
  }

  /** Runs all steps; the listening ports may be closed once it returns. */
  public Outcome run() throws InterruptedException {
    long startNanos = time.nanos();
    endNanos = startNanos + limits.maxDuration().toNanos();
    inFlight.beginLeaving();
    control.beginLeaving();
    awaitLookUpExpiry();
    long lookUpsExpiredNanos = time.nanos();
    issuer.startDraining();
    await(maxOwnRunWait(), () -> issuer.runningOwnCount() == 0);
    long runsEndedNanos = time.nanos();
    boolean handedOver = handOver.run(endNanos);
    long handedOverNanos = time.nanos();
    await(limits.maxRunWait(), () -> issuer.runningCount() == 0);
    awaitIdle();
    int openExchangeCount = inFlight.exchangeCount();
    return new Outcome(
        handedOver,
        openExchangeCount,
        Duration.ofNanos(lookUpsExpiredNanos - startNanos),
        Duration.ofNanos(runsEndedNanos - lookUpsExpiredNanos),
        Duration.ofNanos(handedOverNanos - runsEndedNanos),
        Duration.ofNanos(time.nanos() - handedOverNanos));
  }

  private Duration maxOwnRunWait() {
    double maxNanos = (1 - TIME_AFTER_RUNS_FRACTION) * (endNanos - time.nanos());
    return Duration.ofNanos(Math.min(limits.maxRunWait().toNanos(), (long) maxNanos));
  }

  /**
   * Waits until callers no longer use older look-ups, which they cache for their time to live. A
   * caller that comes after the port is closed fails to connect and uses the next entry VM of its
   * look-up, so a quiet period suffices: no request is aborted. Look-up requests do not count,
   * since every entry VM answers them and the answers name other VMs by now.
   */
  private void awaitLookUpExpiry() throws InterruptedException {
    Thread.sleep(limits.propagationDelay().toMillis());
    long[] lastCountAndNanos = {inFlight.targetRequestCount(), time.nanos()};
    await(
        limits.maxLookUpExpiryWait().minus(limits.propagationDelay()),
        () -> {
          if (inFlight.targetRequestCount() != lastCountAndNanos[0]) {
            lastCountAndNanos[0] = inFlight.targetRequestCount();
            lastCountAndNanos[1] = time.nanos();
          }
          return time.nanos() - lastCountAndNanos[1] > limits.quietPeriod().toNanos();
        });
  }

  /**
   * Waits for a period without exchanges, since a caller on a persistent connection may send its
   * next request at once.
   */
  private void awaitIdle() throws InterruptedException {
    long[] lastBusyNanos = {time.nanos()};
    await(
        limits.maxExchangeWait(),
        () -> {
          if (inFlight.exchangeCount() > 0) {
            lastBusyNanos[0] = time.nanos();
          }
          return time.nanos() - lastBusyNanos[0] > MIN_IDLE_TIME.toNanos();
        });
  }

  private void await(Duration maxWait, BooleanSupplier done) throws InterruptedException {
    long maxWaitNanos = Math.min(maxWait.toNanos(), endNanos - time.nanos());
    long waitEndNanos = time.nanos() + maxWaitNanos;
    while (!done.getAsBoolean() && time.nanos() - waitEndNanos < 0) {
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
  }
}
