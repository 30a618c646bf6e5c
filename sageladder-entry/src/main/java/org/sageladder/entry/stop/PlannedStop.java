package org.sageladder.entry.stop;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.sageladder.core.permit.PermitHome;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.control.ControlPlane;
import org.sageladder.entry.exchange.InFlightCounter;

/**
 * Takes an entry VM out of service without cutting what is in flight.
 *
 * <p>The steps, each bounded: tell the others, so that look-ups stop naming this VM and its gates
 * go to others; serve those who come by older look-ups until these have expired; let permits' runs
 * end and hand the used set to a successor; wait for the last exchange.
 */
public final class PlannedStop {
  /**
   * Times of the steps.
   *
   * @param propagationDelay shortest wait for the news of the leaving to reach look-ups elsewhere
   * @param quietPeriod silence after which no caller is thought to come by an older look-up
   * @param maxLookUpExpiryWait longest wait for that silence
   * @param maxRunWait longest wait for runs under permits
   * @param maxExchangeWait longest wait for all other exchanges
   */
  public record Limits(
      Duration propagationDelay,
      Duration quietPeriod,
      Duration maxLookUpExpiryWait,
      Duration maxRunWait,
      Duration maxExchangeWait) {
    /** Look-ups live 2 s and news of the leaving takes up to 1 s more. */
    public static Limits standard() {
      return new Limits(
          Duration.ofMillis(700),
          Duration.ofMillis(500),
          Duration.ofSeconds(3),
          Duration.ofSeconds(30),
          Duration.ofSeconds(60));
    }
  }

  /**
   * How a stop went, and what its time was made of.
   *
   * @param newcomers until nobody came by an older look-up any more
   * @param runs until the runs under permits had ended
   * @param handOver until the successor had the states
   * @param exchanges until the last exchange had ended
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

  private final ControlPlane control;
  private final InFlightCounter inFlight;
  private final PermitHome issuer;
  private final PermitHandOver handOver;
  private final TimeSource time;
  private final Limits limits;

  private PlannedStop(
      ControlPlane control,
      InFlightCounter inFlight,
      PermitHome home,
      PermitHandOver handOver,
      TimeSource time,
      Limits limits) {
    this.control = control;
    this.inFlight = inFlight;
    this.issuer = home;
    this.handOver = handOver;
    this.time = time;
    this.limits = limits;
  }

  /** A stop that has not begun. */
  public static PlannedStop of(
      ControlPlane control,
      InFlightCounter inFlight,
      PermitHome issuer,
      PermitHandOver handOver,
      TimeSource time,
      Limits limits) {
    return new PlannedStop(control, inFlight, issuer, handOver, time, limits);
  }

  /** Runs all steps; the listening ports may be closed when it returns. */
  public Outcome run() throws InterruptedException {
    long startNanos = time.nanos();
    inFlight.beginLeaving();
    control.beginLeaving();
    awaitLookUpExpiry();
    long lookUpsExpiredNanos = time.nanos();
    issuer.startDraining();
    await(limits.maxRunWait(), () -> issuer.runningOwnCount() == 0);
    long runsEndedNanos = time.nanos();
    boolean handedOver = handOver.run();
    long handedOverNanos = time.nanos();
    await(limits.maxRunWait(), () -> issuer.runningCount() == 0);
    awaitIdle();
    int cut = inFlight.exchanges();
    return new Outcome(
        handedOver,
        cut,
        Duration.ofNanos(lookUpsExpiredNanos - startNanos),
        Duration.ofNanos(runsEndedNanos - lookUpsExpiredNanos),
        Duration.ofNanos(handedOverNanos - runsEndedNanos),
        Duration.ofNanos(time.nanos() - handedOverNanos));
  }

  /**
   * Callers keep look-ups for their time to live. One that comes after the port is closed finds no
   * connection and uses the next entry VM of its answer, so silence is enough: nothing is cut.
   * Look-ups are no sign of newcomers: they are answered everywhere, and name others by now.
   */
  private void awaitLookUpExpiry() throws InterruptedException {
    Thread.sleep(limits.propagationDelay().toMillis());
    long[] seen = {inFlight.targetRequests(), time.nanos()};
    await(
        limits.maxLookUpExpiryWait().minus(limits.propagationDelay()),
        () -> {
          if (inFlight.targetRequests() != seen[0]) {
            seen[0] = inFlight.targetRequests();
            seen[1] = time.nanos();
          }
          return time.nanos() - seen[1] > limits.quietPeriod().toNanos();
        });
  }

  /** A caller on a kept connection may send again at once, so one moment of idleness is no end. */
  private void awaitIdle() throws InterruptedException {
    long[] busySeen = {time.nanos()};
    await(
        limits.maxExchangeWait(),
        () -> {
          if (inFlight.exchanges() > 0) {
            busySeen[0] = time.nanos();
          }
          return time.nanos() - busySeen[0] > MIN_IDLE_TIME.toNanos();
        });
  }

  private void await(Duration maxWait, BooleanSupplier done) throws InterruptedException {
    long end = time.nanos() + maxWait.toNanos();
    while (!done.getAsBoolean() && time.nanos() - end < 0) {
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
  }
}
