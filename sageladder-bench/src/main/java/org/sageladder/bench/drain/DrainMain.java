package org.sageladder.bench.drain;

import java.util.List;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.target.ServiceTime;

/** Drain times and cut requests over planned stops under load, and over kills as a baseline. */
public final class DrainMain {
  private static final int ENTRIES = 6;
  private static final int TARGETS = 6;
  private static final int CALLERS = 24;
  private static final int PAUSE_MILLIS = 60;

  private DrainMain() {}

  /** Takes {@code --full} for 200 planned stops instead of 24. */
  public static void main(String[] args) throws Exception {
    boolean full = List.of(args).contains("--full");
    int targetStops = full ? 80 : 8;
    int entryStops = full ? 40 : 4;
    try (TestBed bed = TestBed.start(60)) {
      bed.addTargets("listings", TARGETS, ServiceTime.parse("lognormal:60:0.8"), 3);
      bed.addTargets("bids", TARGETS, ServiceTime.parse("lognormal:60:0.8"), 3);
      bed.addEntries(ENTRIES);
      Thread.sleep(1_500);
      boolean holds = run(bed, targetStops, entryStops);
      if (!holds) {
        System.out.print(bed.logs());
      }
      System.exit(holds ? 0 : 1);
    }
  }

  private static boolean run(TestBed bed, int targetStops, int entryStops) throws Exception {
    TargetStops shown = new TargetStops(bed);
    TargetStops announced = new TargetStops(bed);
    EntryStops entries = new EntryStops(bed);
    EntryStops kills = new EntryStops(bed);
    long cutPlanned;
    long cutKilled;
    try (SteadyLoad load = SteadyLoad.start(bed, CALLERS, PAUSE_MILLIS)) {
      Thread.sleep(2_000);
      Thread stopping =
          new Thread(
              () -> {
                try {
                  for (int i = 0; i < entryStops; i++) {
                    entries.stop(i % ENTRIES);
                  }
                } catch (Exception e) {
                  throw new IllegalStateException("an entry VM could not be stopped", e);
                }
              });
      stopping.start();
      for (int i = 0; i < targetStops; i++) {
        shown.stop(i % bed.targets().size(), false);
        announced.stop((i + 5) % bed.targets().size(), true);
      }
      stopping.join();
      cutPlanned = load.cut();
      System.out.println("requests by end: " + load.counts());
      for (int i = 0; i < Math.max(2, entryStops / 8); i++) {
        kills.kill(i % ENTRIES);
      }
      cutKilled = load.cut() - cutPlanned;
    }
    shown.print("targets that refuse");
    announced.print("targets that the list announces");
    entries.print();
    int planned = shown.stops() + announced.stops() + entries.stops();
    System.out.println("planned stops: " + planned + ", requests cut: " + cutPlanned);
    System.out.println("baseline, killed entry VMs: " + kills.stops() + ", cut: " + cutKilled);
    int late = shown.late() + announced.late();
    System.out.println(
        "drain: "
            + (cutPlanned + late + entries.badExits() + entries.permitsLost())
            + " cut requests, late work, bad exits and lost permits (aim 0)");
    return cutPlanned == 0
        && late == 0
        && entries.badExits() == 0
        && entries.permitsLost() == 0
        && planned >= 20;
  }
}
