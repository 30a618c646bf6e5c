package org.sageladder.scenario.trouble;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.sageladder.scenario.Fleet;
import org.sageladder.scenario.FleetEntry;
import org.sageladder.scenario.FleetTarget;
import org.sageladder.standin.platform.StoreFaultMode;
import org.sageladder.standin.platform.TargetStandIn.Fault;

/** Entry VMs that restart again and again while requests fail at their targets. */
final class RestartTroubles {
  private static final long TROUBLE_MILLIS = 24_000;
  private static final long ONE_KILLED_INTERVAL_MILLIS = 500;
  private static final long ALL_KILLED_INTERVAL_MILLIS = 2_500;
  private static final long POWER_LOST_INTERVAL_MILLIS = 4_000;
  private static final long POWER_LOSS_MILLIS = 1_200;
  private static final long TARGETS_CRASH_INTERVAL_MILLIS = 1_500;
  private static final double CRASHING_FRACTION = 1.0 / 3;
  private static final long TARGET_DOWN_MILLIS = 1_500;

  /** Time for which requests succeed before they fail, so that no retry is used for a while. */
  private static final long QUIET_MILLIS = 10_000;

  private static final long FIRST_KILL_DELAY_MILLIS = 2_000;

  /** Time after which the registrations of VMs that the store turns away have expired. */
  private static final long REGISTRATION_EXPIRY_MILLIS = 5_000;

  /** Time after which a restarted VM uses its whole share of the retries again. */
  private static final long FIRST_WINDOW_MILLIS = 11_000;

  private static final long FAULT_REFRESH_MILLIS = 500;

  private RestartTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put(
        "failures-and-one-killed",
        (fleet, random) -> {
          failRequests(fleet, 0);
          repeat(fleet, 0, ONE_KILLED_INTERVAL_MILLIS, () -> killOne(fleet, random));
        });
    all.put(
        "failures-and-all-killed",
        (fleet, random) -> {
          failRequests(fleet, 0);
          repeat(fleet, 0, ALL_KILLED_INTERVAL_MILLIS, () -> killAll(fleet));
        });
    all.put(
        "failures-and-power-lost",
        (fleet, random) -> {
          failRequests(fleet, 0);
          repeat(fleet, 0, POWER_LOST_INTERVAL_MILLIS, () -> powerOffAll(fleet));
        });
    all.put(
        "late-failures-and-all-killed",
        (fleet, random) -> {
          failRequests(fleet, QUIET_MILLIS);
          long atMillis = QUIET_MILLIS + FIRST_KILL_DELAY_MILLIS;
          fleet.runAfter(atMillis, () -> killAll(fleet));
        });
    all.put("late-failures-and-few-vms-known", RestartTroubles::hideVms);
    all.put(
        "crashes-and-all-killed",
        (fleet, random) -> {
          repeat(fleet, 0, TARGETS_CRASH_INTERVAL_MILLIS, () -> crashTargets(fleet, random));
          repeat(fleet, 0, ALL_KILLED_INTERVAL_MILLIS, () -> killAll(fleet));
        });
  }

  /**
   * The store turns all VMs but one away until their registrations expire. That one restarts and so
   * never know of them. Then requests fail.
   */
  private static void hideVms(Fleet fleet, Random random) {
    int hiddenCount = fleet.entries().size() - 1;
    List<FleetEntry> all = Troubles.pickEntries(fleet, random, fleet.entries().size());
    Set<String> hidden =
        all.subList(0, hiddenCount).stream()
            .map(entry -> entry.host().ip())
            .collect(Collectors.toSet());
    Troubles.recordAtAll(fleet, TROUBLE_MILLIS);
    fleet.storePort().setFault(StoreFaultMode.BUSY, hidden::contains);
    fleet.runAfter(TROUBLE_MILLIS, fleet.storePort()::clearFault);
    fleet.runAfter(
        REGISTRATION_EXPIRY_MILLIS,
        () -> all.subList(hiddenCount, all.size()).forEach(entry -> kill(fleet, entry)));
    failRequests(fleet, REGISTRATION_EXPIRY_MILLIS + FIRST_WINDOW_MILLIS);
  }

  private static void repeat(Fleet fleet, long fromMillis, long everyMillis, Runnable task) {
    for (long at = fromMillis; at < TROUBLE_MILLIS; at += everyMillis) {
      fleet.runAfter(at, task);
    }
  }

  /** All targets answer with failures, also those that start meanwhile. */
  private static void failRequests(Fleet fleet, long fromMillis) {
    repeat(fleet, fromMillis, FAULT_REFRESH_MILLIS, () -> setFault(fleet, Fault.FAILS));
    fleet.runAfter(TROUBLE_MILLIS, () -> setFault(fleet, Fault.NONE));
  }

  private static void setFault(Fleet fleet, Fault fault) {
    fleet.runningTargets().forEach(target -> target.process().setFault(fault, 1));
  }

  private static void killOne(Fleet fleet, Random random) {
    kill(fleet, Troubles.pickEntry(fleet, random));
  }

  private static void killAll(Fleet fleet) {
    fleet.entries().forEach(entry -> kill(fleet, entry));
  }

  private static void kill(Fleet fleet, FleetEntry entry) {
    Troubles.recordAt(fleet, entry, 0);
    entry.kill();
  }

  private static void powerOffAll(Fleet fleet) {
    for (FleetEntry entry : fleet.entries()) {
      Troubles.recordAt(fleet, entry, POWER_LOSS_MILLIS);
      entry.powerOff(POWER_LOSS_MILLIS);
    }
  }

  private static void crashTargets(Fleet fleet, Random random) {
    for (FleetTarget target : TargetTroubles.pick(fleet, random, CRASHING_FRACTION)) {
      target.crash(TARGET_DOWN_MILLIS);
    }
  }
}
