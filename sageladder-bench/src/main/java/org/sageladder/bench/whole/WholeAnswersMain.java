package org.sageladder.bench.whole;

import java.util.List;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.target.ServiceTime;
import org.sageladder.standin.target.TargetFaults;
import org.sageladder.standin.target.TargetServer;

/** Checks each answer byte by byte while targets cut answers and answer late. */
public final class WholeAnswersMain {
  private static final long USUAL = 30_000;
  private static final long FULL = 1_000_000;

  private WholeAnswersMain() {}

  /** Takes {@code --full} for 1,000,000 exchanges instead of 30,000. */
  public static void main(String[] args) throws Exception {
    long count = List.of(args).contains("--full") ? FULL : USUAL;
    try (TestBed bed = TestBed.start(2)) {
      bed.addTargets("listings", 8, ServiceTime.fixed(1), 8);
      bed.addTargets("archive", 4, ServiceTime.fixed(1), 8);
      bed.addEntries(2);
      for (TargetServer target : bed.targets().subList(0, 8)) {
        target.setFaults(
            TargetFaults.none().withTruncateProbability(0.01).withLateAnswers(0.01, 100));
      }
      Thread.sleep(1_500);
      Exchanges exchanges = new Exchanges(bed);
      long start = System.nanoTime();
      exchanges.run(count);
      long seconds = Math.max(1, (System.nanoTime() - start) / 1_000_000_000);
      System.out.println(count + " exchanges in " + seconds + " s");
      exchanges.print();
      Recordings recordings = new Recordings(bed);
      int right = recordings.run();
      System.out.println(
          "recordings of 128 MB, half fetched and half sent: "
              + right
              + " of "
              + Recordings.tried()
              + " whole; entry daemon's heap 96 MB, peak resident "
              + recordings.peakMegabytes()
              + " MB");
      long faults =
          exchanges.ofAnother.sum() + exchanges.shortAsSuccess.sum() + (Recordings.tried() - right);
      System.out.println("whole-answers: " + faults + " wrong answers (aim 0)");
      boolean holds = faults == 0 && exchanges.whole.sum() >= count * 9 / 10;
      if (!holds) {
        System.out.print(bed.logs());
      }
      System.exit(holds ? 0 : 1);
    }
  }
}
