package org.sageladder.forward;

import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.overload.AdaptiveAdmission.ServiceStatus;
import org.sageladder.core.overload.AdmissionPolicy;
import org.sageladder.core.placing.PlacementDecision.CandidateEstimate;
import org.sageladder.core.placing.PlacementDecision.Refuse;
import org.sageladder.core.placing.PlacementDecision.Send;
import org.sageladder.core.routing.RoutingRules;

/** Logs one line per attempt and per request, and records their counters and latencies. */
final class RequestLog {
  private static final double TENTHS = 10;
  private static final double PERCENT = 100;

  private final EventSink log;
  private final Metrics metrics;

  /**
   * The request that a log line describes.
   *
   * @param id the request id given by the caller, or empty
   * @param route name of its route, or empty
   * @param workspace name of the workspace that sent it, or empty
   */
  record Subject(String id, String route, String workspace) {
    /** Suffix of the log line that names the workspace; API keys are never logged. */
    String workspaceSuffix() {
      return workspace.isEmpty() ? "" : ", workspace " + workspace;
    }
  }

  RequestLog(EventSink log, Metrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /** Records an attempt that ended without a response to the caller. */
  void recordAttempt(EventKind kind, Subject of, Attempt attempt, String detail) {
    metrics.count("tries_" + toLowerCase(kind));
    log.record(
        kind,
        of.id(),
        of.route(),
        attempt.peerId(),
        0,
        detail + attempt.describeEstimate() + of.workspaceSuffix());
  }

  /**
   * Records received bytes that are no part of the response to a request.
   *
   * @param peer id of the target or name of the entry VM that sent them
   * @param startedAtMillis Unix time at which the target started, or 0
   */
  void recordDiscarded(String peer, long startedAtMillis, DiscardedResponse discarded) {
    metrics.count("responses_discarded_" + toLowerCase(discarded.reason()));
    String answered =
        discarded.answeredId().isEmpty() ? "" : " to request " + discarded.answeredId();
    log.record(
        EventKind.RESPONSE_DISCARDED,
        discarded.requestId(),
        "",
        peer,
        startedAtMillis,
        discarded.reason() + answered + ", " + discarded.detail());
  }

  /**
   * Records whether the retry budget permits another attempt.
   *
   * @param budget state of the budget after the decision
   */
  void recordRetryDecision(Subject of, String service, boolean isPermitted, String budget) {
    EventKind kind = isPermitted ? EventKind.RETRY_PERMITTED : EventKind.RETRY_DENIED;
    metrics.count(toLowerCase(kind));
    log.record(kind, of.id(), of.route(), service, 0, budget + of.workspaceSuffix());
  }

  /**
   * Records the end of a request.
   *
   * @param last the attempt whose response was returned, or null
   * @param sendCount number of attempts that may have reached a target
   */
  void recordEnd(
      EventKind kind,
      Subject of,
      @Nullable Attempt last,
      @Nullable RoutingRules rules,
      long durationMillis,
      int sendCount,
      String detail) {
    metrics.count("requests_" + toLowerCase(kind));
    metrics.recordMillis("request", durationMillis);
    String text =
        detail
            + " after "
            + durationMillis
            + " ms, sends "
            + sendCount
            + describeEstimate(last)
            + of.workspaceSuffix();
    long version = rules == null ? 0 : rules.version();
    log.record(kind, of.id(), of.route(), targetId(last), version, text);
  }

  /**
   * Counts the reason why no target was chosen, and describes the estimates behind the decision.
   *
   * @param remainingMillis time that the request had left
   */
  String recordRefusal(Refuse refuse, long remainingMillis) {
    metrics.count("no_target_" + toLowerCase(refuse.reason()));
    AdmissionPolicy.Overload overload = refuse.overload();
    if (overload != null) {
      metrics.count("overload_refused_priority_" + overload.priority());
    }
    CandidateEstimate judged = refuse.bestCandidate();
    if (judged == null) {
      return refuse.reason().name();
    }
    Send send = judged.send();
    return refuse.reason()
        + " at "
        + send.target().facts().id()
        + ": estimated wait + run "
        + Math.round(send.expectedWaitMillis())
        + " + "
        + Math.round(send.expectedRunMillis())
        + " ms from "
        + judged.measuredRunCount()
        + " measured runs, load "
        + Math.round(judged.targetLoad() * TENTHS) / TENTHS
        + " of "
        + send.target().facts().slots()
        + " slots, each held "
        + Math.round(judged.slotHoldMillis())
        + " ms, "
        + remainingMillis
        + " ms left,"
        + (overload == null ? "" : describe(overload));
  }

  private static String describe(AdmissionPolicy.Overload overload) {
    return " priority "
        + overload.priority()
        + " waits at most "
        + Math.round(overload.boundMillis())
        + " ms, "
        + Math.round(overload.load().utilization() * PERCENT)
        + " % of slots in use or asked for by "
        + overload.load().reportCount()
        + " reports, the newest "
        + overload.load().reportAgeMillis()
        + " ms old, overloaded for "
        + overload.overloadedForMillis()
        + " ms,";
  }

  /** Records that a service's overload began or ended. */
  void recordOverload(String service, ServiceStatus status) {
    EventKind kind =
        status.isOverloaded() ? EventKind.SERVICE_OVERLOADED : EventKind.SERVICE_RELIEVED;
    metrics.count(toLowerCase(kind));
    metrics.setGauge("overloaded{service=\"" + service + "\"}", status.isOverloaded() ? 1 : 0);
    log.record(
        kind,
        "",
        "",
        service,
        0,
        Math.round(status.load().utilization() * PERCENT)
            + " % of slots in use or asked for by "
            + status.load().reportCount()
            + " reports, the newest "
            + status.load().reportAgeMillis()
            + " ms old");
  }

  private static String toLowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  private static String targetId(@Nullable Attempt attempt) {
    return attempt == null ? "" : attempt.peerId();
  }

  private static String describeEstimate(@Nullable Attempt attempt) {
    return attempt == null ? "" : attempt.describeEstimate();
  }
}
