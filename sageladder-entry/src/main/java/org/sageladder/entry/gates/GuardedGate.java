package org.sageladder.entry.gates;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.AdmissionRequest;
import org.sageladder.core.limits.Gate;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.HoldingGuard;
import org.sageladder.core.membership.MembershipSettings;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;

/**
 * A gate whose admissions are checked once more, right before the request is sent.
 *
 * <p>Guards against dispatch by an entry VM that was paused or cut off and whose targets another
 * one may hold by now: the gate itself knows only the last view it was told. A request that is
 * turned away here has not run, and its caller may send it elsewhere.
 */
public final class GuardedGate implements Gate {
  private final Gate gate;
  private final ToIntFunction<String> inFlight;
  private final HoldingGuard guard;

  private GuardedGate(Gate gate, ToIntFunction<String> inFlight, HoldingGuard guard) {
    this.gate = gate;
    this.inFlight = inFlight;
    this.guard = guard;
  }

  /**
   * {@code gate} behind {@code guard}.
   *
   * @param inFlight slots of a target that the gate has given out, the one just given included
   */
  public static GuardedGate of(Gate gate, ToIntFunction<String> inFlight, HoldingGuard guard) {
    return new GuardedGate(gate, inFlight, guard);
  }

  @Override
  public Cancellable request(AdmissionRequest request, Consumer<Admission> whenDecided) {
    return gate.request(request, admission -> whenDecided.accept(checkGuard(admission)));
  }

  @Override
  public boolean tryAcquireRetry() {
    return gate.tryAcquireRetry();
  }

  /** Not before the zone may confirm this VM again, whatever the gate has free. */
  @Override
  public Duration retryAfter() {
    Duration confirmed = MembershipSettings.standard().heartbeatInterval();
    Duration free = gate.retryAfter();
    return free.compareTo(confirmed) < 0 ? confirmed : free;
  }

  private Admission checkGuard(Admission admission) {
    if (!(admission instanceof Admission.Admitted admitted)) {
      return admission;
    }
    Holding target = admitted.slot().target();
    int allowed = guard.usableSlots(target);
    if (inFlight.applyAsInt(target.target()) <= allowed) {
      return admission;
    }
    admitted.slot().release(Admission.Completion.UNUSED);
    return new Admission.Refused(
        new Result.NotRun(
            ResultCode.GATE_MOVED,
            retryAfter(),
            "this entry VM may use "
                + allowed
                + " of the "
                + target.slots()
                + " slots of "
                + target.target()
                + " until its zone confirms it again"));
  }
}
