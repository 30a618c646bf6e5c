package org.sageladder.core.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.core.contract.RequestClass;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.result.ResultCode;

class ServiceGateTest {
  private final Gates gates = new Gates();
  private final ServiceGate gate =
      ServiceGate.create(
          "c", Gates.service(RequestClass.INTERACTIVE), gates.time, gates, EventSink.none());
  private final List<Admission> decisions = new ArrayList<>();

  @Test
  void slotsOfATargetAreNeverExceededAndWaitsAreBounded() {
    // A caller burst of 20 meets one target of 3 slots: were the gate to count wrongly, the target
    // would run more than its slots and shed work that had already been told it was admitted.
    gate.holdings(Gates.holdings(1, 3));
    for (int i = 0; i < 20; i++) {
      gate.request(gates.within(Duration.ofSeconds(5)), decisions::add);
    }
    assertEquals(3, gate.busy());
    assertEquals(4, gate.queued());
    assertEquals(13, refusals(ResultCode.QUEUE_FULL));
  }

  @Test
  void waitingRequestGetsTheSlotThatComesFree() {
    gate.holdings(Gates.holdings(1, 1));
    gate.request(gates.within(Duration.ofSeconds(5)), decisions::add);
    gate.request(gates.within(Duration.ofSeconds(5)), decisions::add);
    assertEquals(1, decisions.size());
    slot(0).release(Admission.Completion.ANSWERED);
    assertEquals(2, decisions.size());
    assertEquals(1, gate.busy());
    slot(0).release(Admission.Completion.ANSWERED);
    assertEquals(1, gate.busy(), "a second release of one slot must not free another");
  }

  @Test
  void waitEndsAtItsDeadlineWithATrueRefusal() {
    gate.holdings(Gates.holdings(1, 1));
    gate.request(gates.within(Duration.ofSeconds(5)), decisions::add);
    gate.request(gates.within(Duration.ofMillis(200)), decisions::add);
    gates.advance(Duration.ofMillis(199));
    assertEquals(1, decisions.size());
    gates.advance(Duration.ofMillis(2));
    assertEquals(1, refusals(ResultCode.QUEUE_DEADLINE));
    slot(0).release(Admission.Completion.ANSWERED);
    assertEquals(0, gate.busy(), "a refused request must not get a slot afterwards");
  }

  @Test
  void leavingTargetGetsNoNewWorkAndKeepsWhatItHas() {
    // The platform announces a stop while two requests run: the list still names the target later
    // on, and a gate that believed it again would send work to a VM about to end.
    gate.holdings(Gates.holdings(1, 3));
    gate.request(gates.within(Duration.ofSeconds(5)), decisions::add);
    gate.targetLoad("t0", 1, 3, true, gates.time.nanos());
    gate.holdings(Gates.holdings(1, 3));
    gate.request(gates.within(Duration.ofSeconds(5)), decisions::add);
    assertEquals(1, refusals(ResultCode.NO_TARGET));
    assertEquals(1, gate.busy());
    slot(0).release(Admission.Completion.ANSWERED);
    assertEquals(0, gate.busy());
  }

  @Test
  void retryDoesNotGoToTheTargetThatFailed() {
    gate.holdings(Gates.holdings(1, 3));
    AdmissionRequest retry =
        new AdmissionRequest("r", gates.time.nanos() + 1_000_000_000L, "t0", "");
    gate.request(retry, decisions::add);
    assertEquals(1, refusals(ResultCode.NO_TARGET), "waiting for the one target is no use");
    gate.holdings(Gates.holdings(2, 3));
    gate.request(retry, decisions::add);
    assertEquals("t1", slot(1).target().target());
  }

  @Test
  void targetLostWhileWorkRunsStillCountsWhenItComesBack() {
    gate.holdings(Gates.holdings(1, 1));
    gate.request(gates.within(Duration.ofSeconds(5)), decisions::add);
    gate.holdings(List.of());
    gate.holdings(Gates.holdings(1, 1));
    gate.request(gates.within(Duration.ofSeconds(5)), decisions::add);
    assertEquals(1, gate.busy("t0"), "the slot in use was forgotten");
    assertEquals(1, gate.queued());
  }

  @Test
  void closedGateRefusesWaitsAndNewWork() {
    gate.holdings(Gates.holdings(1, 1));
    gate.request(gates.within(Duration.ofSeconds(5)), decisions::add);
    gate.request(gates.within(Duration.ofSeconds(5)), decisions::add);
    gate.close();
    gate.request(gates.within(Duration.ofSeconds(5)), decisions::add);
    assertEquals(2, refusals(ResultCode.STOPPING));
    assertEquals(1, gate.busy());
  }

  @Test
  void cancelledWaitIsNeverAnswered() {
    gate.holdings(Gates.holdings(1, 1));
    gate.request(gates.within(Duration.ofSeconds(5)), decisions::add);
    Gate.Cancellable wait = gate.request(gates.within(Duration.ofSeconds(5)), decisions::add);
    assertTrue(wait.cancel());
    slot(0).release(Admission.Completion.ANSWERED);
    gates.advance(Duration.ofSeconds(6));
    assertEquals(1, decisions.size());
    assertEquals(0, gate.busy());
    assertFalse(wait.cancel());
  }

  private Admission.Slot slot(int index) {
    return assertInstanceOf(Admission.Admitted.class, decisions.get(index)).slot();
  }

  private long refusals(ResultCode code) {
    return decisions.stream()
        .filter(d -> d instanceof Admission.Refused no && no.result().code() == code)
        .count();
  }
}
