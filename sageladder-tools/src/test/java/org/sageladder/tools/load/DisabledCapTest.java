package org.sageladder.tools.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.AdmissionRequest;
import org.sageladder.core.limits.ServiceGate;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.time.VirtualTime;
import org.sageladder.tools.load.TargetView.Reading;

// Guards against a verdict that cannot fail: a release that admits requests without shift caps
// would pass, and the first real surge would overload cold caches. The test runs the same surge
// through a real ServiceGate on a virtual clock, once with the contract in force and once with the
// contract of --disable caps. The checks use the contract in force in both runs.
class DisabledCapTest {
  private static final String SEARCH = "lyric-search";
  private static final long STEP_MILLIS = 100;

  private final VirtualTime time = VirtualTime.startingAt(1_000_000);
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::dueNanos));
  private long started;
  private int busy;

  private record Task(long dueNanos, Runnable action) {}

  @Test
  void verdictHoldsWithTheCapsAndFailsWithoutThem() throws Exception {
    Experiment experiment = withoutFaults();

    List<CheckResult> inForce = surge(experiment, experiment.contract());
    List<CheckResult> disabled =
        new DisabledCapTest()
            .surge(experiment, LoadMain.contractChange("caps").apply(experiment.contract()));

    assertTrue(holds(inForce, "target"), inForce::toString);
    assertTrue(holds(inForce, "region"), inForce::toString);
    assertFalse(holds(disabled, "target"), disabled::toString);
    assertFalse(holds(disabled, "region"), disabled::toString);
    assertFalse(Report.allHold(disabled));
  }

  @Test
  void disablingNothingChangesNothing() throws Exception {
    Contract contract = withoutFaults().contract();

    assertEquals(contract, LoadMain.contractChange("nothing").apply(contract));
  }

  private static Experiment withoutFaults() throws Exception {
    Experiment fromFile = Experiment.read(Path.of("..", "experiments", "kannelkoda.yaml"));
    return new Experiment(
        fromFile.name(),
        fromFile.contract(),
        1,
        1,
        fromFile.warmUp(),
        fromFile.loads(),
        List.of(),
        fromFile.limits());
  }

  private static boolean holds(List<CheckResult> checks, String scope) {
    String name = "shift toward a " + scope + " stays under its cap";
    return checks.stream().filter(check -> check.name().equals(name)).allMatch(CheckResult::holds);
  }

  /** Sends 2 searches per second to one target for 10 s, then 40 per second for 10 s. */
  private List<CheckResult> surge(Experiment experiment, Contract inForce) {
    Contract.Service service = inForce.service(SEARCH).orElseThrow();
    ServiceGate gate =
        ServiceGate.create(inForce.customer(), service, time, this::runAfter, EventSink.none());
    gate.updateHoldings(List.of(new Holding("t", "c", SEARCH, "127.0.0.1", 1, 1, "vm", 3, false)));
    List<Long> at = new ArrayList<>();
    List<List<Reading>> readings = new ArrayList<>();
    for (int step = 0; step < 200; step++) {
      int arrivals = step >= 100 ? 4 : step % 5 == 0 ? 1 : 0;
      for (int i = 0; i < arrivals; i++) {
        send(gate, "r-" + step + "-" + i, (long) service.meanServiceMillis());
      }
      advance(Duration.ofMillis(STEP_MILLIS));
      at.add(step * STEP_MILLIS * 1_000_000);
      readings.add(List.of(new Reading(started, busy, 0)));
    }
    Samples samples = new Samples(List.of(new ChecksTest.FixedTarget()), at, readings);
    return Checks.of(
        new VariantResult(
            "sageladder", experiment, List.of(), samples, List.of(), Map.of(), List.of(), 0));
  }

  private void send(ServiceGate gate, String id, long serviceMillis) {
    long deadline = time.nanos() + Duration.ofSeconds(2).toNanos();
    var unused =
        gate.request(
            new AdmissionRequest(id, deadline, "", ""),
            admission -> {
              if (admission instanceof Admission.Admitted admitted) {
                started++;
                busy++;
                runAfter(Duration.ofMillis(serviceMillis), () -> completeRequest(admitted));
              }
            });
  }

  private void completeRequest(Admission.Admitted admitted) {
    busy--;
    admitted.slot().release(Admission.Completion.ANSWERED);
  }

  private void runAfter(Duration delay, Runnable task) {
    tasks.add(new Task(time.nanos() + delay.toNanos(), task));
  }

  private void advance(Duration step) {
    long end = time.nanos() + step.toNanos();
    while (!tasks.isEmpty() && tasks.peek().dueNanos() <= end) {
      Task task = tasks.remove();
      time.advance(Duration.ofNanos(Math.max(0, task.dueNanos() - time.nanos())));
      task.action().run();
    }
    time.advance(Duration.ofNanos(end - time.nanos()));
  }
}
