package org.sageladder.bench.policy;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.AdmissionRequest;
import org.sageladder.core.limits.ServiceGate;

/**
 * Counts the attempts sent to targets during an overload in which half of all requests fail, with
 * and without a retry budget.
 */
public final class Retries {
  private static final int MAX_ATTEMPTS = 3;

  private final Setup setup = Setup.typical(1);
  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final Random random = new Random(1);
  private final boolean usesRetryBudget;
  private final ServiceGate gate;
  private long firstAttempts;
  private long sentAttempts;

  private Retries(boolean usesRetryBudget) {
    this.usesRetryBudget = usesRetryBudget;
    this.gate =
        ServiceGate.create(
            Setup.CUSTOMER, setup.service(), scheduler.time(), scheduler, EventSink.none());
    EntryVm vm = new EntryVm(setup, scheduler, 0, "r0z0", 0);
    EntryVm other = new EntryVm(setup, scheduler, 0, "r0z0", 1);
    gate.updateHoldings(List.of(vm.holdings.get(0), other.holdings.get(0)));
  }

  /** Runs the simulation without and with the budget. */
  public static void main(String[] arguments) {
    double sentPerRequestUnbounded = new Retries(false).run();
    double sentPerRequestWithBudget = new Retries(true).run();
    ResultPrinter.printLine(
        "half of all work is lost, every loss wants up to %d tries", MAX_ATTEMPTS);
    ResultPrinter.printLine(
        "  sent to targets for each admitted request, unbounded: %.3f", sentPerRequestUnbounded);
    ResultPrinter.printResultAndExit(
        sentPerRequestWithBudget <= 1.1,
        "retries: %.3f sent for each admitted (aim <= 1.1)",
        sentPerRequestWithBudget);
  }

  private double run() {
    for (int tick = 0; tick < 120 * Arrivals.TICKS_PER_SECOND; tick++) {
      for (int i = 0; i < 4; i++) {
        startAttempt("", 1);
      }
      scheduler.advance(Arrivals.TICK);
    }
    return (double) sentAttempts / firstAttempts;
  }

  private void startAttempt(String avoidedTarget, int attemptNumber) {
    long deadline = scheduler.time().nanos() + Duration.ofSeconds(5).toNanos();
    gate.request(
        new AdmissionRequest("", deadline, avoidedTarget, ""),
        admission -> {
          if (admission instanceof Admission.Admitted admitted) {
            sentAttempts++;
            firstAttempts += attemptNumber == 1 ? 1 : 0;
            scheduler.runAfter(
                Arrivals.drawServiceTime(setup, random),
                () -> finish(admitted.slot(), attemptNumber));
          }
        });
  }

  private void finish(Admission.Slot slot, int attemptNumber) {
    boolean isLost = random.nextBoolean();
    slot.release(isLost ? Admission.Completion.LOST : Admission.Completion.ANSWERED);
    if (isLost && attemptNumber < MAX_ATTEMPTS && (!usesRetryBudget || gate.tryAcquireRetry())) {
      startAttempt(slot.target().target(), attemptNumber + 1);
    }
  }
}
