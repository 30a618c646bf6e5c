package org.sageladder.forward;

import java.util.function.DoubleSupplier;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.placing.RateLimitSignal;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetRateLimiter;
import org.sageladder.core.placing.TargetSignals;
import org.sageladder.core.placing.TargetTable;

/** Applies what targets state about themselves in answers: request rates, drains and back-offs. */
final class TargetSignalHandler {
  /** Largest fraction by which a back-off is longer than a target asked for. */
  private static final double BACK_OFF_JITTER = 0.2;

  private final TargetTable targets;
  private final TargetRateLimiter rateLimiter;
  private final DoubleSupplier randomFraction;
  private final Runnable onCapacityChange;
  private final EventSink log;
  private final Metrics metrics;

  TargetSignalHandler(
      TargetTable targets,
      TargetRateLimiter rateLimiter,
      DoubleSupplier randomFraction,
      Runnable onCapacityChange,
      EventSink log,
      Metrics metrics) {
    this.targets = targets;
    this.rateLimiter = rateLimiter;
    this.randomFraction = randomFraction;
    this.onCapacityChange = onCapacityChange;
    this.log = log;
    this.metrics = metrics;
  }

  void apply(TargetFacts target, TargetSignals signals, long nowMillis) {
    applyRateLimit(target, signals.rateLimit(), nowMillis);
    if (signals.isDraining() && targets.markDraining(target.incarnation())) {
      metrics.count("target_drains_in_answers");
      onCapacityChange.run();
      logTarget(EventKind.TARGET_LEAVING, target, "draining, as stated in an answer");
    }
    if (signals.backOffMillis() > 0) {
      backOff(target, signals.backOffMillis(), nowMillis);
    }
  }

  /** Sends a target nothing for at least {@code millis}; VMs refused together return apart. */
  private void backOff(TargetFacts target, long millis, long nowMillis) {
    long jitteredMillis = Math.round(millis * (1 + BACK_OFF_JITTER * randomFraction.getAsDouble()));
    targets.backOffUntil(target.incarnation(), nowMillis + jitteredMillis);
    metrics.count("target_back_offs");
    logTarget(
        EventKind.TARGET_BACKED_OFF,
        target,
        "asked for no requests for " + millis + " ms, gets none for " + jitteredMillis + " ms");
  }

  private void applyRateLimit(TargetFacts target, RateLimitSignal signal, long nowMillis) {
    TargetRateLimiter.Change change = rateLimiter.recordSignal(target, signal, nowMillis);
    switch (change) {
      case LIMITED, CHANGED, WITHDRAWN -> logTargetLimit(target, signal);
      case MALFORMED -> metrics.count("target_limits_malformed");
      default -> {}
    }
  }

  private void logTargetLimit(TargetFacts target, RateLimitSignal signal) {
    metrics.count("target_limit_changes");
    String detail =
        signal instanceof RateLimitSignal.Limited limited
            ? "accepts " + limited.requestsPerSecond() + " requests/s, as stated in an answer"
            : "no longer states a request rate";
    logTarget(EventKind.TARGET_LIMITED, target, detail);
  }

  private void logTarget(EventKind kind, TargetFacts target, String detail) {
    log.record(
        kind, "", target.service(), target.id(), target.incarnation().startedAtMillis(), detail);
  }
}
