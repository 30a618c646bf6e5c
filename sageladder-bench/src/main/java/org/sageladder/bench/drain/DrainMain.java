package org.sageladder.bench.drain;

import java.util.List;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.target.ServiceTime;

/**
 * Measures drain times and interrupted requests of planned stops under load, with kills as the
 * baseline.
 */
public final class DrainMain {
  private static final int ENTRIES = 6;
  private static final int TARGETS = 6;
  private static final int CALLERS = 24;
  private static final int PAUSE_MILLIS = 60;

  private DrainMain() {}

  /** Makes 24 planned stops, or 200 with {@code --full}. */
  public static void main(String[] args) throws Exception {
    boolean full = List.of(args).contains("--full");
    int targetStops = full ? 80 : 8;
    int entryStops = full ? 40 : 4;
    try (TestBed bed = TestBed.start(60)) {
      bed.addTargets("listings", TARGETS, ServiceTime.parse("lognormal:60:0.8"), 3);
      bed.addTargets("bids", TARGETS, ServiceTime.parse("lognormal:60:0.8"), 3);
      bed.addEntries(ENTRIES);
      Thread.sleep(1_500);
      boolean hasPassed = run(bed, targetStops, entryStops);
      if (!hasPassed) {
        System.out.print(bed.logTails());
      }
      System.exit(hasPassed ? 0 : 1);
    }
  }

  private static boolean run(TestBed bed, int targetStopCount, int entryStopCount)
      throws Exception {
    TargetStops refusingTargets = new TargetStops(bed);
    TargetStops listedTargets = new TargetStops(bed);
    EntryStops entryStops = new EntryStops(bed);
    EntryStops entryKills = new EntryStops(bed);
    long cutPlanned;
    long cutKilled;
    try (SteadyLoad load = SteadyLoad.start(bed, CALLERS, PAUSE_MILLIS)) {
      Thread.sleep(2_000);
      Thread stopThread =
          new Thread(
              () -> {
                try {
                  for (int i = 0; i < entryStopCount; i++) {
                    entryStops.stopEntry(i % ENTRIES);
                  }
                } catch (Exception e) {
                  throw new IllegalStateException("an entry VM could not be stopped", e);
                }
              });
      stopThread.start();
      for (int i = 0; i < targetStopCount; i++) {
        refusingTargets.stopTarget(i % bed.targets().size(), false);
        listedTargets.stopTarget((i + 5) % bed.targets().size(), true);
      }
      stopThread.join();
      cutPlanned = load.cutCount();
      System.out.println("requests by end: " + load.counts());
      for (int i = 0; i < Math.max(2, entryStopCount / 8); i++) {
        entryKills.killEntry(i % ENTRIES);
      }
      cutKilled = load.cutCount() - cutPlanned;
    }
    refusingTargets.print("targets that refuse");
    listedTargets.print("targets that the list announces");
    entryStops.print();
    int plannedStops =
        refusingTargets.stopCount() + listedTargets.stopCount() + entryStops.stopCount();
    System.out.println("planned stops: " + plannedStops + ", requests cut: " + cutPlanned);
    System.out.println(
        "baseline, killed entry VMs: " + entryKills.stopCount() + ", cut: " + cutKilled);
    int lateStops = refusingTargets.lateCount() + listedTargets.lateCount();
    System.out.println(
        "drain: "
            + (cutPlanned + lateStops + entryStops.failedExitCount() + entryStops.lostPermitCount())
            + " cut requests, late work, bad exits and lost permits (aim 0)");
    return cutPlanned == 0
        && lateStops == 0
        && entryStops.failedExitCount() == 0
        && entryStops.lostPermitCount() == 0
        && plannedStops >= 20;
  }
}
