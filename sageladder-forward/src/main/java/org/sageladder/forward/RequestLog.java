package org.sageladder.forward;

import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.placing.PlacementDecision.CandidateEstimate;
import org.sageladder.core.placing.PlacementDecision.Refuse;
import org.sageladder.core.placing.PlacementDecision.Send;
import org.sageladder.core.routing.RoutingRules;

/** Writes what became of requests and of their attempts: a log line each, counters and times. */
final class RequestLog {
  private static final double TENTHS = 10;

  private final EventSink log;
  private final Metrics metrics;

  /**
   * The request that a line is about.
   *
   * @param id the caller's id of it, or empty
   * @param route name of its route, or empty
   * @param workspace name of the workspace that sent it, or empty
   */
  record Subject(String id, String route, String workspace) {
    /** The end of a log line's text: the key itself is never logged, only whose it is. */
    String workspaceSuffix() {
      return workspace.isEmpty() ? "" : ", workspace " + workspace;
    }
  }

  RequestLog(EventSink log, Metrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /** One attempt ended without the request's answer. */
  void recordAttempt(EventKind kind, Subject of, Attempt attempt, String detail) {
    metrics.count("tries_" + toLowerCase(kind));
    log.record(
        kind,
        of.id(),
        of.route(),
        targetId(attempt),
        0,
        detail + describeEstimate(attempt) + of.workspaceSuffix());
  }

  /**
   * The request ended.
   *
   * @param last the attempt that its answer came from, or null
   * @param sendCount attempts that may have reached a target
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
   * Counts why no target was chosen and says by what it was decided.
   *
   * @param millisLeft time that the request had
   */
  String recordRefusal(Refuse refuse, long millisLeft) {
    metrics.count("no_target_" + toLowerCase(refuse.reason()));
    CandidateEstimate judged = refuse.bestCandidate();
    if (judged == null) {
      return refuse.reason().name();
    }
    Send send = judged.send();
    return refuse.reason()
        + " at "
        + send.target().facts().id()
        + ": expected "
        + Math.round(send.expectedWaitMillis())
        + " + "
        + Math.round(send.expectedRunMillis())
        + " ms by "
        + judged.measuredRunCount()
        + " runs, load "
        + Math.round(judged.targetLoad() * TENTHS) / TENTHS
        + " of "
        + send.target().facts().slots()
        + " slots held "
        + Math.round(judged.slotHoldMillis())
        + " ms, "
        + millisLeft
        + " left,";
  }

  private static String toLowerCase(Enum<?> word) {
    return word.name().toLowerCase(Locale.ROOT);
  }

  private static String targetId(@Nullable Attempt attempt) {
    return attempt == null ? "" : attempt.target().facts().id();
  }

  private static String describeEstimate(@Nullable Attempt attempt) {
    if (attempt == null) {
      return "";
    }
    // Without a formatter, which costs more than the rest of the line, since each request has one.
    return ", known "
        + attempt.decision().isWarm()
        + ", expected "
        + Math.round(attempt.decision().expectedWaitMillis())
        + " + "
        + Math.round(attempt.decision().expectedRunMillis())
        + " ms, sent for "
        + attempt.elapsedMillis()
        + " ms, own there "
        + attempt.target().inFlight();
  }
}
