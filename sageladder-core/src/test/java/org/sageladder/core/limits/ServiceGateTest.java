package org.sageladder.core.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.channels.CancelledKeyException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.RequestClass;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.HoldingGuard;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;

class ServiceGateTest {
  private final GateFixture gates = new GateFixture();
  private final ServiceGate gate =
      ServiceGate.create(
          "c", GateFixture.service(RequestClass.INTERACTIVE), gates.time, gates, EventSink.none());
  private final List<Admission> decisions = new ArrayList<>();

  @Test
  void slotLimitAndQueueLimitHold() {
    // A burst of 20 requests arrives for one target with 3 slots. If the gate counted wrongly, the
    // target would get more requests than it has slots and refuse requests that were already
    // admitted.
    holdWarm(1, 3);
    for (int i = 0; i < 20; i++) {
      gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    }
    assertEquals(3, gate.busySlots());
    assertEquals(4, gate.queuedCount());
    assertEquals(13, refusalCount(ResultCode.QUEUE_FULL));
  }

  @Test
  void waitingRequestGetsTheFreedSlot() {
    gate.updateHoldings(GateFixture.holdings(1, 1));
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    assertEquals(1, decisions.size());
    slot(0).release(Admission.Completion.ANSWERED);
    assertEquals(2, decisions.size());
    assertEquals(1, gate.busySlots());
    slot(0).release(Admission.Completion.ANSWERED);
    assertEquals(1, gate.busySlots(), "a second release of one slot must not free another");
  }

  @Test
  void waitEndsAtItsDeadlineWithARefusal() {
    gate.updateHoldings(GateFixture.holdings(1, 1));
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    gate.request(gates.requestWithin(Duration.ofMillis(200)), decisions::add);
    gates.advance(Duration.ofMillis(199));
    assertEquals(1, decisions.size());
    gates.advance(Duration.ofMillis(2));
    assertEquals(1, refusalCount(ResultCode.QUEUE_DEADLINE));
    slot(0).release(Admission.Completion.ANSWERED);
    assertEquals(0, gate.busySlots(), "a refused request must not get a slot afterwards");
  }

  @Test
  void drainingTargetGetsNoNewWorkAndKeepsRequestsInFlight() {
    // The platform announces the stop of a target while requests run on it, but its list still
    // names the target afterwards. The gate must not use the list to send new requests to a VM that
    // is about to end.
    holdWarm(1, 3);
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    gate.onLoadReport("t0", 1, 3, true, gates.time.nanos());
    gate.updateHoldings(GateFixture.holdings(1, 3));
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    assertEquals(1, refusalCount(ResultCode.NO_TARGET));
    assertEquals(1, gate.busySlots());
    slot(0).release(Admission.Completion.ANSWERED);
    assertEquals(0, gate.busySlots());
  }

  /** The connection of the first waiting caller has ended; the others got no refusal. */
  @Test
  void listenerThatThrowsKeepsNoOtherCallerFromItsRefusal() {
    gate.updateHoldings(GateFixture.holdings(1, 1));
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), admission -> {});
    gate.request(
        gates.requestWithin(Duration.ofSeconds(5)),
        admission -> {
          throw new CancelledKeyException();
        });
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    gate.close();
    assertEquals(2, refusalCount(ResultCode.STOPPING));
    Admission.Refused refused = assertInstanceOf(Admission.Refused.class, decisions.get(1));
    assertFalse(((Result.NotRun) refused.result()).retryAfter().isZero());
  }

  /** A listener that threw on its admission kept the slot for good. */
  @Test
  void slotOfAListenerThatThrowsIsFreeAgain() {
    gate.updateHoldings(GateFixture.holdings(1, 1));
    gate.request(
        gates.requestWithin(Duration.ofSeconds(5)),
        admission -> {
          throw new CancelledKeyException();
        });
    assertEquals(0, gate.busySlots());
  }

  @Test
  void retryAfterIsWhenTheCapAllowsTheRequest() {
    // A cold service has used its gain for this window. Guards against a retry-after that covers
    // only the queue, a few milliseconds: callers retried in vain hundreds of times until the cap
    // allowed a request seconds later.
    ServiceGate capped =
        ServiceGate.create(
            "c",
            GateFixture.service(
                RequestClass.INTERACTIVE, new Contract.ShiftCap(0.1, Duration.ofSeconds(10))),
            gates.time,
            gates,
            EventSink.none());
    capped.updateHoldings(GateFixture.holdings(1, 3));
    Duration retryAfter = fillUntilCapped(capped);
    assertTrue(
        retryAfter.compareTo(Duration.ofSeconds(1)) > 0,
        "the cap allows a request seconds later: " + retryAfter);
    gates.advance(retryAfter.minusMillis(1_001));
    assertEquals(
        ResultCode.SHIFT_CAP, requestOnce(capped), "one step earlier the cap still applies");
    gates.advance(Duration.ofMillis(1_002));
    assertEquals(ResultCode.OK, requestOnce(capped));
  }

  @Test
  void gainOfDrainingTargetGoesToOtherTargets() {
    // A target is drained during a surge, so all requests go to the gate's other target. Guards
    // against that target having only its own share of the region's gain: requests waited a second
    // and were refused although the region used only two thirds of what the contract allows.
    ServiceGate surging =
        ServiceGate.create(
            "c",
            GateFixture.service(
                RequestClass.INTERACTIVE,
                new Contract.ShiftCap(0.1, Duration.ofSeconds(10)),
                new Contract.ShiftCap(0.5, Duration.ofSeconds(10))),
            gates.time,
            gates,
            EventSink.none());
    surging.updateHoldings(List.of(GateFixture.holding("t0", 4), GateFixture.holding("t1", 4)));
    surging.onLoadReport("t0", 0, 4, true, gates.time.nanos());
    int admitted = 0;
    for (int tenth = 0; tenth < 100; tenth++) {
      while (requestOnce(surging) == ResultCode.OK) {
        admitted++;
      }
      gates.advance(Duration.ofMillis(100));
    }
    assertEquals(80, admitted, "the gain of both targets");
  }

  @Test
  void unconfirmedHolderUsesHalfOfTheGain() {
    // During a network partition within a zone the relay gives half of a target's slots to another
    // entry VM, and this one goes on with the other half. Guards against both using the whole gain:
    // the target then grew by 1.5 gains.
    Contract.ShiftCap cap = new Contract.ShiftCap(0.1, Duration.ofSeconds(10));
    ServiceGate unconfirmed =
        ServiceGate.create(
            "c",
            GateFixture.service(RequestClass.INTERACTIVE, cap),
            gates.time,
            gates,
            EventSink.none(),
            QueueBudget.of(10),
            holding -> holding.slots() / 2);
    unconfirmed.updateHoldings(GateFixture.holdings(1, 4));
    int admitted = 0;
    for (int second = 0; second < 10; second++) {
      while (requestOnce(unconfirmed) == ResultCode.OK) {
        admitted++;
      }
      gates.advance(Duration.ofSeconds(1));
    }
    assertEquals(20, admitted, "half of a gain of 40");
  }

  @Test
  void requestThatCannotOutlastATakeoverIsRefusedAtOnce() {
    // A target was taken over and may get no requests for a window. Guards against requests that
    // waited for the whole queue time although it was certain that none of them could be served.
    gate.updateHoldings(GateFixture.holdings(1, 3), Set.of("t0"));
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    assertEquals(1, refusalCount(ResultCode.SHIFT_CAP));
    Admission.Refused refused = (Admission.Refused) decisions.get(0);
    gates.advance(refused.result().retryAfter());
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    assertEquals(1, gate.busySlots());
  }

  /**
   * Uses up what the caps allow, completing each request at once; returns the refusal's
   * retry-after.
   */
  private Duration fillUntilCapped(ServiceGate capped) {
    for (int second = 0; second < 10; second++) {
      while (requestOnce(capped) == ResultCode.OK) {
        assertEquals(0, capped.busySlots());
      }
      Admission.Refused refused = (Admission.Refused) decisions.get(decisions.size() - 1);
      if (refused.result().retryAfter().compareTo(Duration.ofSeconds(1)) > 0) {
        return refused.result().retryAfter();
      }
      gates.advance(Duration.ofSeconds(1));
    }
    return Duration.ZERO;
  }

  /** Sends a request whose deadline forces an immediate decision; returns the result code. */
  private ResultCode requestOnce(ServiceGate requestedGate) {
    int before = decisions.size();
    AdmissionRequest request = new AdmissionRequest("r", gates.time.nanos(), "", "");
    requestedGate.request(request, decisions::add);
    if (decisions.size() == before) {
      gates.advance(Duration.ofMillis(1));
    }
    if (decisions.get(before) instanceof Admission.Admitted admitted) {
      admitted.slot().release(Admission.Completion.ANSWERED);
      return ResultCode.OK;
    }
    return ((Admission.Refused) decisions.get(before)).result().code();
  }

  @Test
  void retryDoesNotGoToTheTargetThatFailed() {
    gate.updateHoldings(GateFixture.holdings(1, 3));
    AdmissionRequest retry =
        new AdmissionRequest("r", gates.time.nanos() + 1_000_000_000L, "t0", "");
    gate.request(retry, decisions::add);
    assertEquals(1, refusalCount(ResultCode.NO_TARGET), "waiting for the only target is useless");
    gate.updateHoldings(GateFixture.holdings(2, 3));
    gate.request(retry, decisions::add);
    assertEquals("t1", slot(1).target().target());
  }

  @Test
  void requestsInFlightStillCountWhenATargetReturns() {
    gate.updateHoldings(GateFixture.holdings(1, 1));
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    gate.updateHoldings(List.of());
    gate.updateHoldings(GateFixture.holdings(1, 1));
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    assertEquals(1, gate.inFlight("t0"), "the slot in use was forgotten");
    assertEquals(1, gate.queuedCount());
  }

  @Test
  void closedGateRefusesQueuedAndNewRequests() {
    gate.updateHoldings(GateFixture.holdings(1, 1));
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    gate.close();
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    assertEquals(2, refusalCount(ResultCode.STOPPING));
    assertEquals(1, gate.busySlots());
  }

  @Test
  void cancelledWaitGetsNoDecision() {
    gate.updateHoldings(GateFixture.holdings(1, 1));
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    Gate.Cancellable wait =
        gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    assertTrue(wait.cancel());
    slot(0).release(Admission.Completion.ANSWERED);
    gates.advance(Duration.ofSeconds(6));
    assertEquals(1, decisions.size());
    assertEquals(0, gate.busySlots());
    assertFalse(wait.cancel());
  }

  @Test
  void coldTargetGetsOneMoreSlotWithEachResponse() {
    gate.updateHoldings(GateFixture.holdings(1, 3));
    assertEquals(1, gate.usableSlots());
    gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
    slot(0).release(Admission.Completion.ANSWERED);
    assertEquals(2, gate.usableSlots());
  }

  @Test
  void refusalsOverrideAReportOfIdle() {
    // A target's load endpoint returns "idle" from a cache while the target sheds all requests. A
    // gate that trusted the report would keep sending requests that are all refused.
    holdWarm(1, 3);
    gate.onLoadReport("t0", 0, 3, false, gates.time.nanos());
    int sentBefore = decisions.size();
    for (int i = 0; i < 50; i++) {
      gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
      releaseLast(Admission.Completion.REFUSED);
      gates.advance(Duration.ofMillis(20));
      gate.onLoadReport("t0", 0, 3, false, gates.time.nanos());
    }
    assertTrue(
        admissionCount() - sentBefore <= 5,
        "sent to a shedding target: " + (admissionCount() - sentBefore));
  }

  @Test
  void reportOfFullLeavesOneSlot() {
    // An idle target reports all slots busy forever. If the gate trusted the report fully, the
    // target would get no requests and nothing would show that the report is wrong.
    holdWarm(1, 3);
    gate.onLoadReport("t0", 3, 3, false, gates.time.nanos());
    assertEquals(1, gate.usableSlots());
    gates.advance(Duration.ofSeconds(3));
    assertEquals(3, gate.usableSlots(), "a stale report must be ignored");
  }

  @Test
  void targetThatCutsAnswersIsOnlyProbed() {
    holdWarm(2, 3);
    int sentBefore = decisions.size();
    int sentToBroken = 0;
    for (int i = 0; i < 100; i++) {
      gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
      boolean broken = lastSlot().target().target().equals("t0");
      sentToBroken += broken ? 1 : 0;
      releaseLast(broken ? Admission.Completion.LOST : Admission.Completion.ANSWERED);
      gates.advance(Duration.ofMillis(10));
    }
    assertEquals(sentBefore + 100, decisions.size());
    assertTrue(sentToBroken <= 6, "sent to the broken target: " + sentToBroken);
  }

  @Test
  void backgroundRequestsAreShedBeforeCriticalOnes() {
    // One entry VM handles background and critical requests. Guards against background requests
    // that fill its queue, so that a critical request is refused in favour of work that
    // could run hours later.
    QueueBudget budget = QueueBudget.of(4);
    ServiceGate background = gateOf(RequestClass.BACKGROUND, budget);
    ServiceGate critical = gateOf(RequestClass.CRITICAL, budget);
    for (ServiceGate each : List.of(background, critical)) {
      each.updateHoldings(GateFixture.holdings(1, 1));
      for (int i = 0; i < 4; i++) {
        each.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
      }
    }
    assertEquals(2, background.queuedCount());
    assertEquals(1, refusalCount(ResultCode.BACKGROUND_SHED));
    assertEquals(2, critical.queuedCount());
    critical.close();
    background.close();
    assertEquals(0, budget.waitingCount(), "queue capacity of refused requests must be released");
  }

  private ServiceGate gateOf(RequestClass requestClass, QueueBudget budget) {
    return ServiceGate.create(
        "c",
        GateFixture.service(requestClass),
        gates.time,
        gates,
        EventSink.none(),
        budget,
        HoldingGuard.unrestricted());
  }

  /** Assigns targets and completes requests until all their slots may be used. */
  private void holdWarm(int targets, int slots) {
    gate.updateHoldings(GateFixture.holdings(targets, slots));
    for (int i = 0; i < targets * slots; i++) {
      gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
      releaseLast(Admission.Completion.ANSWERED);
    }
    if (gate.usableSlots() < targets * slots) {
      warmRemaining(targets, slots);
    }
    assertEquals(targets * slots, gate.usableSlots());
    decisions.clear();
  }

  private void warmRemaining(int targets, int slots) {
    for (int round = 0; round < slots; round++) {
      List<Admission.Slot> taken = new ArrayList<>();
      for (int i = 0; i < targets * slots; i++) {
        gate.request(gates.requestWithin(Duration.ofSeconds(5)), decisions::add);
      }
      for (Admission decision : List.copyOf(decisions)) {
        if (decision instanceof Admission.Admitted admitted) {
          taken.add(admitted.slot());
        }
      }
      taken.forEach(slot -> slot.release(Admission.Completion.ANSWERED));
      gates.advance(Duration.ofSeconds(2));
    }
  }

  private Admission.Slot lastSlot() {
    return slot(decisions.size() - 1);
  }

  private void releaseLast(Admission.Completion completion) {
    if (!decisions.isEmpty()
        && decisions.get(decisions.size() - 1) instanceof Admission.Admitted admitted) {
      admitted.slot().release(completion);
    }
  }

  private long admissionCount() {
    return decisions.stream().filter(Admission.Admitted.class::isInstance).count();
  }

  private Admission.Slot slot(int index) {
    return assertInstanceOf(Admission.Admitted.class, decisions.get(index)).slot();
  }

  private long refusalCount(ResultCode code) {
    return decisions.stream()
        .filter(d -> d instanceof Admission.Refused refused && refused.result().code() == code)
        .count();
  }
}
