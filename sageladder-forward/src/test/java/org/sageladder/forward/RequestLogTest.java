package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.overload.AdmissionPolicy.Overload;
import org.sageladder.core.overload.ServiceLoad;
import org.sageladder.core.placing.PlacementDecision.CandidateEstimate;
import org.sageladder.core.placing.PlacementDecision.Reason;
import org.sageladder.core.placing.PlacementDecision.Refuse;
import org.sageladder.core.placing.PlacementDecision.Send;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.core.placing.TargetState;
import org.sageladder.core.placing.TargetTable;

/** Log lines and counters of requests. */
class RequestLogTest {
  private final Metrics metrics = new Metrics();
  private final RequestLog log = new RequestLog(EventSink.none(), metrics);

  private static TargetState target() {
    TargetTable table = TargetTable.create();
    TargetIncarnation start = new TargetIncarnation("t-1", 0);
    table.put(new TargetFacts(start, 0, "s", "10.0.0.1", 80, "z", "r", 3, false, 0), 0);
    return table.find("t-1").orElseThrow();
  }

  /**
   * Requests of a new route were refused for seconds, and the log line contained only the reason
   * TOO_LATE. Without the numbers behind the refusal, a long queue could not be distinguished from
   * a wrong estimate.
   */
  @Test
  void refusalStatesTheEstimatesBehindIt() {
    Send best = new Send(target(), false, 1_500, 1_040);
    Refuse refuse = new Refuse(Reason.TOO_LATE, 1_040, new CandidateEstimate(best, 420, 4.1, 0));
    assertEquals(
        "TOO_LATE at t-1: estimated wait + run 1040 + 1500 ms from 0 measured runs,"
            + " load 4.1 of 3 slots, each held 420 ms, 980 ms left,",
        log.recordRefusal(refuse, 980));
    assertTrue(metrics.text().contains("sageladder_no_target_too_late 1"), metrics.text());
  }

  /** Guards against refusals under overload whose inputs, and their age, cannot be told. */
  @Test
  void refusalUnderOverloadStatesTheLoadAndItsAge() {
    Overload overload = new Overload(2, new ServiceLoad(1.42, 180, 31), 2_400, 150);
    CandidateEstimate estimate =
        new CandidateEstimate(new Send(target(), true, 200, 390), 210, 8.5, 12);
    String line = log.recordRefusal(new Refuse(Reason.OVERLOAD, 90, estimate, overload), 2_480);
    assertTrue(
        line.endsWith(
            " priority 2 waits at most 150 ms, 142 % of slots in use or asked for by 31 reports,"
                + " the newest 180 ms old, overloaded for 2400 ms,"),
        line);
    assertTrue(metrics.text().contains("overload_refused_priority_2 1"), metrics.text());
  }

  @Test
  void refusalWithoutATargetStatesItsReason() {
    assertEquals("ALL_COLD", log.recordRefusal(new Refuse(Reason.ALL_COLD, 100, null), 980));
  }
}
