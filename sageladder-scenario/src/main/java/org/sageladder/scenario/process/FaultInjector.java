package org.sageladder.scenario.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.sageladder.standin.platform.StoreFaultMode;
import org.sageladder.standin.platform.TargetStandIn.Fault;

/** Injects series of faults into a fleet, and starts entry VMs that have ended again. */
final class FaultInjector {
  /** The platform starts a process that has ended again after about this time. */
  private static final long RESTART_DELAY_MILLIS = 500;

  private static final long POLL_MILLIS = 20;
  private static final int CRASHED_TARGETS_DIVISOR = 3;
  private static final long TARGET_DOWN_MILLIS = 1_500;
  private static final double FREQUENT_FAULT_FRACTION = 0.3;
  private static final long GRACE_MILLIS = 6_000;

  /** Time in which callers connect before a planned stop begins. */
  private static final long CONNECT_MILLIS = 100;

  /** Time until a process that was started serves as well as before. */
  private static final long START_MILLIS = 3_000;

  private record Step(long atMillis, Action action) {}

  @FunctionalInterface
  private interface Action {
    void run() throws IOException, InterruptedException;
  }

  private final ProcessFleet fleet;
  private final Random random;
  private final PriorityQueue<Step> steps =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
  private final List<EntryVmProcess> restarting = new ArrayList<>();
  private final List<EntryVmProcess> stopped = new ArrayList<>();
  private final Set<EntryVmProcess> stopping = new HashSet<>();
  private final List<String> unexpectedEnds = new ArrayList<>();
  private final StopTimes stopTimes = new StopTimes();
  private final BusyProcesses busyProcesses = new BusyProcesses();
  private long startNanos;
  private long trafficMillis;

  private FaultInjector(ProcessFleet fleet, long seed) {
    this.fleet = fleet;
    this.random = new Random(seed);
  }

  /** Creates an injector; {@code seed} determines which VMs and targets faults affect. */
  static FaultInjector of(ProcessFleet fleet, long seed) {
    return new FaultInjector(fleet, seed);
  }

  /**
   * Injects {@code series} for {@code millis}, then continues all stopped VMs.
   *
   * @return a line for each process that ended by itself
   */
  List<String> run(List<FaultSeries> series, long millis) throws IOException, InterruptedException {
    startNanos = System.nanoTime();
    trafficMillis = millis;
    series.forEach(this::schedule);
    try (busyProcesses) {
      while (elapsedMillis() < trafficMillis) {
        while (!steps.isEmpty() && steps.peek().atMillis() <= elapsedMillis()) {
          steps.poll().action().run();
        }
        restartEnded();
        Thread.sleep(POLL_MILLIS);
      }
    }
    continueStopped();
    return unexpectedEnds;
  }

  private long elapsedMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private void schedule(FaultSeries series) {
    for (long at = series.fromMillis(); at < series.toMillis(); at += series.everyMillis()) {
      steps.add(new Step(at, () -> inject(series)));
    }
    steps.add(new Step(series.toMillis(), () -> end(series.kind())));
  }

  private void inject(FaultSeries series) throws IOException, InterruptedException {
    switch (series.kind()) {
      case KILL_ONE -> kill(1);
      case KILL_HALF -> kill(fleet.entryVms().size() / 2);
      case KILL_ALL -> kill(fleet.entryVms().size());
      case STOP_ONE -> stopOne();
      case TERMINATE_ONE -> terminateOne();
      case HANG_UP_ONE -> hangUpOne();
      case CONFIGURE -> fleet.runOnLoop(fleet.changes()::configure);
      case CHANGE_ROUTES -> fleet.runOnLoop(fleet.changes()::changeRoutes);
      case REPLACE_TARGET -> fleet.runOnLoop(() -> fleet.changes().replaceTarget(true));
      case REMOVE_TARGET -> fleet.runOnLoop(() -> fleet.changes().replaceTarget(false));
      case EVACUATE_ZONE -> fleet.runOnLoop(fleet.changes()::evacuateZone);
      case WRITE_FOREIGN_ENTRY -> fleet.runOnLoop(fleet.changes()::writeForeignEntry);
      case WRITE_LONG_ENTRIES -> fleet.runOnLoop(fleet.changes()::writeLongEntries);
      case FORGET_HISTORY -> forgetHistory();
      case DROP_WATCHES -> dropWatches();
      case OCCUPY_PROCESSORS -> occupyProcessors();
      case CRASH_TARGETS -> crashTargets();
      case FAIL_REQUESTS -> setFault(Fault.FAILS, 1);
      case LOSE_ANSWERS -> setFault(Fault.LOSES_ANSWER, 1);
      case CUT_HEADS -> setFault(Fault.CUTS_HEAD, FREQUENT_FAULT_FRACTION);
      case ANSWER_TWICE_LATE -> setFault(Fault.ANSWERS_TWICE_LATE, FREQUENT_FAULT_FRACTION);
      case ANSWER_TWICE_IN_PIECES ->
          setFault(Fault.ANSWERS_TWICE_IN_PIECES, FREQUENT_FAULT_FRACTION);
      case ANSWER_TWICE_CUT -> setFault(Fault.ANSWERS_TWICE_CUT, FREQUENT_FAULT_FRACTION);
      case ANSWER_TWICE_SPOILT -> setFault(Fault.ANSWERS_TWICE_SPOILT, FREQUENT_FAULT_FRACTION);
      case ANSWER_TWICE_WITHOUT_ID ->
          setFault(Fault.ANSWERS_TWICE_WITHOUT_ID, FREQUENT_FAULT_FRACTION);
      case ADD_BYTES -> setFault(Fault.ADDS_BYTES, FREQUENT_FAULT_FRACTION);
      case INVALID_STATUS -> setFault(Fault.INVALID_STATUS, FREQUENT_FAULT_FRACTION);
      case INVALID_HEADER -> setFault(Fault.INVALID_HEADER, FREQUENT_FAULT_FRACTION);
      case SILENCE_STORE -> setStoreFault(StoreFaultMode.SILENT, series);
      case REFUSE_AT_STORE -> setStoreFault(StoreFaultMode.BUSY, series);
      case SLOW_STORE -> setStoreFault(StoreFaultMode.SLOW, series);
      case LOSE_STORE_ANSWERS -> setStoreFault(StoreFaultMode.LOSES_ANSWERS, series);
      default -> throw new IllegalArgumentException("unknown fault " + series.kind());
    }
  }

  private void end(FaultSeries.Kind kind) throws IOException, InterruptedException {
    switch (kind) {
      case STOP_ONE -> continueStopped();
      case OCCUPY_PROCESSORS -> busyProcesses.close();
      case FAIL_REQUESTS,
          LOSE_ANSWERS,
          CUT_HEADS,
          ANSWER_TWICE_LATE,
          ANSWER_TWICE_IN_PIECES,
          ANSWER_TWICE_CUT,
          ANSWER_TWICE_SPOILT,
          ANSWER_TWICE_WITHOUT_ID,
          ADD_BYTES,
          INVALID_STATUS,
          INVALID_HEADER ->
          setFault(Fault.NONE, 0);
      case SILENCE_STORE, REFUSE_AT_STORE, SLOW_STORE, LOSE_STORE_ANSWERS ->
          fleet.runOnLoop(() -> fleet.storePort().clearFault());
      case EVACUATE_ZONE -> fleet.runOnLoop(fleet.changes()::endEvacuation);
      default -> {}
    }
  }

  private List<EntryVmProcess> pick(int count) {
    List<EntryVmProcess> running = new ArrayList<>(fleet.entryVms());
    running.removeIf(vm -> !vm.isAlive());
    Collections.shuffle(running, random);
    return running.subList(0, Math.min(count, running.size()));
  }

  private void kill(int count) {
    for (EntryVmProcess vm : pick(count)) {
      fleet.recordTrouble(vm, RESTART_DELAY_MILLIS + START_MILLIS);
      vm.kill();
    }
  }

  private void terminateOne() throws InterruptedException {
    for (EntryVmProcess vm : pick(1)) {
      if (!stopping.add(vm)) {
        continue;
      }
      fleet.startPersistentCallers(vm, CONNECT_MILLIS, GRACE_MILLIS);
      Thread.sleep(CONNECT_MILLIS);
      fleet.recordPlannedStop(vm);
      Process terminated = vm.terminate();
      long signalledAtMillis = elapsedMillis();
      var unused =
          terminated
              .onExit()
              .thenRun(() -> stopTimes.recordEnd(elapsedMillis() - signalledAtMillis));
      steps.add(new Step(signalledAtMillis + GRACE_MILLIS, () -> killAfterGrace(terminated)));
    }
  }

  private void killAfterGrace(Process terminated) {
    if (terminated.isAlive()) {
      stopTimes.recordKill();
      terminated.destroyForcibly();
    }
  }

  /** How long planned stops took. */
  StopTimes stopTimes() {
    return stopTimes;
  }

  private void occupyProcessors() throws IOException {
    fleet.recordSlowdown(trafficMillis - elapsedMillis());
    busyProcesses.start();
  }

  private void hangUpOne() throws IOException, InterruptedException {
    for (EntryVmProcess vm : pick(1)) {
      vm.signal("HUP");
    }
  }

  private void stopOne() throws IOException, InterruptedException {
    continueStopped();
    for (EntryVmProcess vm : pick(1)) {
      fleet.recordTrouble(vm, trafficMillis - elapsedMillis());
      vm.signal("STOP");
      stopped.add(vm);
    }
  }

  private void continueStopped() throws IOException, InterruptedException {
    for (EntryVmProcess vm : stopped) {
      vm.signal("CONT");
    }
    stopped.clear();
  }

  private void crashTargets() {
    fleet.recordTrouble(TARGET_DOWN_MILLIS);
    fleet.runOnLoop(this::crashSomeTargets);
  }

  private void crashSomeTargets() {
    List<ProcessTarget> alive = new ArrayList<>(fleet.targets());
    alive.removeIf(target -> !target.isAlive());
    Collections.shuffle(alive, random);
    alive
        .subList(0, alive.size() / CRASHED_TARGETS_DIVISOR)
        .forEach(target -> target.crash(TARGET_DOWN_MILLIS));
  }

  private void setFault(Fault fault, double fraction) {
    fleet.recordTrouble(trafficMillis - elapsedMillis());
    fleet.runOnLoop(
        () -> fleet.targets().forEach(target -> target.process().setFault(fault, fraction)));
  }

  private void setStoreFault(StoreFaultMode mode, FaultSeries series) {
    fleet.recordTrouble(Math.max(0, series.toMillis() - elapsedMillis()));
    fleet.runOnLoop(() -> fleet.storePort().setFault(mode, caller -> true));
  }

  private void forgetHistory() {
    fleet.recordTrouble(PlatformChanges.WATCH_SILENCE_MILLIS);
    fleet.runOnLoop(fleet.changes()::forgetHistory);
  }

  private void dropWatches() {
    fleet.recordTrouble(0);
    fleet.runOnLoop(fleet.storePort()::dropWatches);
  }

  private void restartEnded() {
    for (EntryVmProcess vm : fleet.entryVms()) {
      if (!vm.isAlive() && !restarting.contains(vm)) {
        vm.unexpectedExitCode()
            .ifPresent(code -> unexpectedEnds.add(vm.name() + " ended with code " + code));
        restarting.add(vm);
        stopping.remove(vm);
        steps.add(
            new Step(
                elapsedMillis() + RESTART_DELAY_MILLIS,
                () -> {
                  restarting.remove(vm);
                  vm.start();
                }));
      }
    }
  }
}
