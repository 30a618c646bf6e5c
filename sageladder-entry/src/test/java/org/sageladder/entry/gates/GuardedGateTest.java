package org.sageladder.entry.gates;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.AdmissionRequest;
import org.sageladder.core.limits.Gate;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.result.ResultCode;

class GuardedGateTest {
  private static final Holding TARGET =
      new Holding("t-1", "k", "search", "127.0.0.1", 1, 1, "vm-1", 3, false);
  private static final AdmissionRequest REQUEST = new AdmissionRequest("r-1", 0, "", "");

  private final List<Admission.Completion> released = new ArrayList<>();
  private final List<Admission> decisions = new ArrayList<>();
  private int inFlight;

  // The VM is paused for a minute while requests wait at its gate, and resumes unaware of it. Its
  // targets have another holder by then, so the waiting requests must not be sent to them.
  @Test
  void requestAdmittedAfterPauseIsRefusedAndItsSlotReleasedUnused() {
    GuardedGate.of(alwaysAdmits(), target -> inFlight, holding -> 0)
        .request(REQUEST, decisions::add);
    Admission.Refused refused = assertInstanceOf(Admission.Refused.class, decisions.get(0));
    assertEquals(ResultCode.GATE_MOVED, refused.result().code());
    assertEquals(List.of(Admission.Completion.UNUSED), released);
  }

  @Test
  void unconfirmedVmUsesOnlyTheSlotsThatTheGuardAllows() {
    GuardedGate gate = GuardedGate.of(alwaysAdmits(), target -> inFlight, holding -> 2);
    for (int i = 0; i < 3; i++) {
      gate.request(REQUEST, decisions::add);
    }
    assertInstanceOf(Admission.Admitted.class, decisions.get(1));
    assertInstanceOf(Admission.Refused.class, decisions.get(2));
    assertEquals(2, inFlight);
  }

  private Gate alwaysAdmits() {
    return (request, whenDecided) -> {
      inFlight++;
      whenDecided.accept(new Admission.Admitted(new FakeSlot()));
      return () -> false;
    };
  }

  private final class FakeSlot implements Admission.Slot {
    @Override
    public Holding target() {
      return TARGET;
    }

    @Override
    public void release(Admission.Completion completion) {
      inFlight--;
      released.add(completion);
    }
  }
}
