package org.sageladder.bench.policy;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.AdmissionRequest;
import org.sageladder.core.limits.ServiceGate;

/** What targets see of an overload in which half of all work fails, with and without a budget. */
public final class Retries {
  private static final int MOST_TRIES = 3;

  private final Setup setup = Setup.today(1);
  private final Agenda agenda = new Agenda();
  private final Random random = new Random(1);
  private final boolean bounded;
  private final ServiceGate gate;
  private long firstTries;
  private long sent;

  private Retries(boolean bounded) {
    this.bounded = bounded;
    this.gate =
        ServiceGate.create(
            Setup.CUSTOMER, setup.service(), agenda.time(), agenda, EventSink.none());
    EntryVm vm = new EntryVm(setup, agenda, 0, "r0z0", 0);
    EntryVm other = new EntryVm(setup, agenda, 0, "r0z0", 1);
    gate.updateHoldings(List.of(vm.holdings.get(0), other.holdings.get(0)));
  }

  /** Runs both and compares. */
  public static void main(String[] arguments) {
    double without = new Retries(false).run();
    double with = new Retries(true).run();
    Report.line("half of all work is lost, every loss wants up to %d tries", MOST_TRIES);
    Report.line("  sent to targets for each admitted request, unbounded: %.3f", without);
    Report.end(with <= 1.1, "retries: %.3f sent for each admitted (aim <= 1.1)", with);
  }

  private double run() {
    for (int tick = 0; tick < 120 * Arrivals.TICKS; tick++) {
      for (int i = 0; i < 4; i++) {
        ask("", 1);
      }
      agenda.advance(Arrivals.TICK);
    }
    return (double) sent / firstTries;
  }

  private void ask(String avoid, int number) {
    long deadline = agenda.time().nanos() + Duration.ofSeconds(5).toNanos();
    gate.request(
        new AdmissionRequest("", deadline, avoid, ""),
        admission -> {
          if (admission instanceof Admission.Admitted yes) {
            sent++;
            firstTries += number == 1 ? 1 : 0;
            agenda.runAfter(Arrivals.serviceTime(setup, random), () -> finish(yes.slot(), number));
          }
        });
  }

  private void finish(Admission.Slot slot, int number) {
    boolean lost = random.nextBoolean();
    slot.release(lost ? Admission.Completion.LOST : Admission.Completion.ANSWERED);
    if (lost && number < MOST_TRIES && (!bounded || gate.tryAcquireRetry())) {
      ask(slot.target().target(), number + 1);
    }
  }
}
