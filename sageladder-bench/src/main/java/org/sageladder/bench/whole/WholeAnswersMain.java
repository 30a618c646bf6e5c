package org.sageladder.bench.whole;

import java.util.List;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.target.ServiceTime;
import org.sageladder.standin.target.TargetFaults;
import org.sageladder.standin.target.TargetServer;

/** Verifies each response byte by byte while targets truncate and delay responses. */
public final class WholeAnswersMain {
  private static final long DEFAULT_EXCHANGES = 30_000;
  private static final long FULL_EXCHANGES = 1_000_000;

  private WholeAnswersMain() {}

  /** Runs 30,000 exchanges, or 1,000,000 with {@code --full}. */
  public static void main(String[] args) throws Exception {
    long count = List.of(args).contains("--full") ? FULL_EXCHANGES : DEFAULT_EXCHANGES;
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
      long startNanos = System.nanoTime();
      exchanges.run(count);
      long seconds = Math.max(1, (System.nanoTime() - startNanos) / 1_000_000_000);
      System.out.println(count + " exchanges in " + seconds + " s");
      exchanges.print();
      Recordings recordings = new Recordings(bed);
      int correctTransfers = recordings.transferAll();
      System.out.println(
          "recordings of 128 MB, half fetched and half sent: "
              + correctTransfers
              + " of "
              + Recordings.transferCount()
              + " whole; entry daemon's heap 96 MB, peak resident "
              + recordings.peakResidentMegabytes()
              + " MB");
      long wrongAnswers =
          exchanges.wrongRequestCount.sum()
              + exchanges.truncatedAsSuccessCount.sum()
              + (Recordings.transferCount() - correctTransfers);
      System.out.println("whole-answers: " + wrongAnswers + " wrong answers (aim 0)");
      boolean hasPassed = wrongAnswers == 0 && exchanges.completeCount.sum() >= count * 9 / 10;
      if (!hasPassed) {
        System.out.print(bed.logTails());
      }
      System.exit(hasPassed ? 0 : 1);
    }
  }
}
