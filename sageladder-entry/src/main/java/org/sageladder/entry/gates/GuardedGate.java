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
 * A gate that rechecks each admission right before the request is sent.
 *
 * <p>Guards against dispatch by an entry VM that was paused or partitioned and whose targets may
 * have another holder by now: the gate itself has only the last view it received. A request that is
 * refused here has not run, and its caller may send it to another entry VM.
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
   * Wraps {@code gate} with a check by {@code guard}.
   *
   * @param inFlight in-flight slots of a target, including the one just granted
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

  /**
   * At least one heartbeat, since the zone cannot confirm this VM earlier even if the gate has free
   * slots.
   */
  @Override
  public Duration retryAfter() {
    Duration heartbeat = MembershipSettings.standard().heartbeatInterval();
    Duration gateRetryAfter = gate.retryAfter();
    return gateRetryAfter.compareTo(heartbeat) < 0 ? heartbeat : gateRetryAfter;
  }

  private Admission checkGuard(Admission admission) {
    if (!(admission instanceof Admission.Admitted admitted)) {
      return admission;
    }
    Holding holding = admitted.slot().target();
    int allowed = guard.usableSlots(holding);
    if (inFlight.applyAsInt(holding.target()) <= allowed) {
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
                + holding.slots()
                + " slots of "
                + holding.target()
                + " until its zone confirms it again"));
  }
}
