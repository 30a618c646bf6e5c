package org.sageladder.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sageladder.core.overload.AdmissionPolicy.Candidate;
import org.sageladder.core.overload.AdmissionPolicy.Verdict;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceShare;

class AdaptiveAdmissionTest {
  private static final ServiceLoad OVERLOADED = new ServiceLoad(1.6, 100, 50);

  private final AdaptiveAdmission admission = AdaptiveAdmission.create();
  private long now;

  private static RouteRule route(int priority) {
    List<ServiceShare> services = List.of(new ServiceShare("s", 1));
    return new RouteRule(
        "r" + priority, "h", "/", true, 3_000, 600, priority, services, 2, true, Set.of(), false);
  }

  private boolean isSent(int priority, boolean isRetry, double waitMillis, ServiceLoad load) {
    now += 50;
    Candidate candidate =
        new Candidate(route(priority), "s", priority, isRetry, waitMillis, 200, 200, load);
    return admission.judge(candidate, now) instanceof Verdict.Send;
  }

  private int sentOfHundred(int priority, boolean isRetry, double waitMillis, ServiceLoad load) {
    int sent = 0;
    for (int i = 0; i < 100; i++) {
      sent += isSent(priority, isRetry, waitMillis, load) ? 1 : 0;
    }
    return sent;
  }

  /** Guards against refusals while the store or targets are away, or after this VM was frozen. */
  @Test
  void refusesNothingByMissingOrOldReports() {
    assertEquals(100, sentOfHundred(0, false, 900, ServiceLoad.unknown()));
    assertEquals(100, sentOfHundred(0, false, 900, new ServiceLoad(1.6, 5_000, 50)));
    assertEquals(100, sentOfHundred(0, false, 900, new ServiceLoad(1.6, 100, 3)));
    assertEquals(0, sentOfHundred(0, false, 900, OVERLOADED));
    assertEquals(100, sentOfHundred(0, false, 900, new ServiceLoad(1.6, 5_000, 50)));
  }

  /** Guards against refusals while slots are free or the queue is short. */
  @Test
  void refusesNothingWithinTheBound() {
    assertEquals(100, sentOfHundred(0, false, 0, OVERLOADED));
    assertEquals(100, sentOfHundred(0, false, 290, OVERLOADED));
  }

  /** Guards against a state that changes with each report near the threshold. */
  @Test
  void endsLaterThanItBegins() {
    assertEquals(100, sentOfHundred(0, false, 900, new ServiceLoad(1.1, 100, 50)));
    assertEquals(0, sentOfHundred(0, false, 900, OVERLOADED));
    assertEquals(0, sentOfHundred(0, false, 900, new ServiceLoad(1.1, 100, 50)));
    assertEquals(100, sentOfHundred(0, false, 900, new ServiceLoad(0.9, 100, 50)));
  }

  /** Guards against a refusal of all by a small excess. */
  @Test
  void refusedPartGrowsWithTheWait() {
    int atSmallExcess = sentOfHundred(0, false, 330, OVERLOADED);
    int atLargeExcess = sentOfHundred(0, false, 420, OVERLOADED);
    assertTrue(atSmallExcess >= 75 && atSmallExcess <= 85, "sent " + atSmallExcess);
    assertTrue(atLargeExcess >= 15 && atLargeExcess <= 25, "sent " + atLargeExcess);
  }

  /** Guards against retries that take the slots of first tries. */
  @Test
  void retriesGiveWay() {
    assertEquals(100, sentOfHundred(0, false, 290, OVERLOADED));
    assertTrue(sentOfHundred(0, true, 290, OVERLOADED) <= 10);
  }

  /** Guards against a low priority that is refused completely while a high one is served. */
  @Test
  void lowPriorityKeepsHalfTheShareOfAll() {
    int sent = 0;
    for (int i = 0; i < 400; i++) {
      assertTrue(isSent(0, false, 280, OVERLOADED));
      sent += isSent(2, false, 400, OVERLOADED) ? 1 : 0;
    }
    assertTrue(sent >= 120 && sent < 250, "sent " + sent + " of 400");
  }
}
