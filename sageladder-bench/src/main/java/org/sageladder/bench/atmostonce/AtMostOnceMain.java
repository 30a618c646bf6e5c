package org.sageladder.bench.atmostonce;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.sageladder.bench.process.Caller;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.target.ServiceTime;
import org.sageladder.standin.target.TargetFaults;
import org.sageladder.standin.target.TargetServer;

/**
 * Counts executions per permit while entry VMs are killed, paused and stopped and responses are
 * lost.
 */
public final class AtMostOnceMain {
  private static final int ENTRIES = 6;
  private static final int TARGETS = 12;
  private static final int BIDDERS = 160;
  private static final int DEFAULT_REQUESTS = 8_000;
  private static final int FULL_REQUESTS = 100_000;

  private AtMostOnceMain() {}

  /** Sends 8,000 requests, or 100,000 with {@code --full}. */
  public static void main(String[] args) throws Exception {
    int requestCount = List.of(args).contains("--full") ? FULL_REQUESTS : DEFAULT_REQUESTS;
    try (TestBed bed = TestBed.start(4)) {
      bed.addTargets("bids", TARGETS, ServiceTime.fixed(4), 3);
      bed.addEntries(ENTRIES);
      for (TargetServer target : bed.targets()) {
        target.setFaults(
            TargetFaults.none().withTruncateProbability(0.01).withLateAnswers(0.02, 700));
      }
      Thread.sleep(1_000);
      OutcomeLog outcomes = new OutcomeLog();
      FaultInjector faults = new FaultInjector(bed, 20_261_202);
      Thread faultThread = new Thread(faults, "disorder");
      faultThread.start();
      long startNanos = System.nanoTime();
      run(bed, outcomes, requestCount);
      faults.stop();
      faultThread.join();
      boolean hasPassed =
          report(bed, outcomes, faults, requestCount, System.nanoTime() - startNanos);
      if (!hasPassed) {
        System.out.print(bed.logTails());
      }
      System.exit(hasPassed ? 0 : 1);
    }
  }

  private static void run(TestBed bed, OutcomeLog outcomes, int requestCount) throws Exception {
    ExecutorService bidders = Executors.newFixedThreadPool(BIDDERS);
    ExecutorService delayedCopies = Executors.newFixedThreadPool(BIDDERS);
    Caller caller = Caller.create();
    AtomicInteger next = new AtomicInteger();
    List<Future<?>> running = new ArrayList<>();
    for (int i = 0; i < BIDDERS; i++) {
      Bidder bidder = new Bidder(bed, caller, outcomes, delayedCopies, i);
      running.add(
          bidders.submit(
              () -> {
                for (int n = next.getAndIncrement(); n < requestCount; n = next.getAndIncrement()) {
                  bidder.placeBid("w" + n);
                }
                return null;
              }));
    }
    for (Future<?> each : running) {
      each.get();
    }
    bidders.shutdown();
    delayedCopies.shutdown();
    if (!delayedCopies.awaitTermination(30, TimeUnit.SECONDS)) {
      throw new IllegalStateException("delayed copies are still in flight after 30 s");
    }
    // Executions started by the last copies must be counted at the targets before the report.
    Thread.sleep(2_000);
  }

  private static boolean report(
      TestBed bed, OutcomeLog outcomes, FaultInjector faults, int requestCount, long nanos) {
    long executedTwice = 0;
    long falseNotRun = 0;
    long falseRan = 0;
    long executedWithoutPermit = 0;
    Map<String, Integer> executions = new java.util.HashMap<>();
    for (TargetServer target : bed.targets()) {
      for (String key : target.executions().keys()) {
        executions.merge(key, target.executions().count(key), Integer::sum);
      }
    }
    for (Map.Entry<String, Integer> run : executions.entrySet()) {
      executedTwice += run.getValue() > 1 ? 1 : 0;
      executedWithoutPermit += run.getKey().endsWith(".0") ? 1 : 0;
    }
    for (Map.Entry<String, OutcomeLog.ReportedOutcome> reported :
        outcomes.outcomesByKey().entrySet()) {
      int count = executions.getOrDefault(reported.getKey(), 0);
      falseNotRun += reported.getValue() == OutcomeLog.ReportedOutcome.NOT_RUN && count > 0 ? 1 : 0;
      falseRan += reported.getValue() == OutcomeLog.ReportedOutcome.RAN && count == 0 ? 1 : 0;
    }
    System.out.println("requests: " + requestCount + " in " + nanos / 1_000_000_000 + " s");
    System.out.println("disorder: " + faults.countsByFault());
    System.out.println(
        "permits used: "
            + outcomes.outcomesByKey().size()
            + ", told ran "
            + outcomes.count(OutcomeLog.ReportedOutcome.RAN)
            + ", not run "
            + outcomes.count(OutcomeLog.ReportedOutcome.NOT_RUN)
            + ", unknown to the end "
            + outcomes.count(OutcomeLog.ReportedOutcome.UNKNOWN));
    System.out.println("refusals of the bidders' own copies: " + outcomes.refusalsByResult());
    System.out.println(
        "executions at targets: " + executions.values().stream().mapToInt(n -> n).sum());
    System.out.println("permits run more than once: " + executedTwice);
    System.out.println("told not run and found run: " + falseNotRun);
    System.out.println("told ran and found not run: " + falseRan);
    System.out.println("run without a permit: " + executedWithoutPermit);
    System.out.println("told both ran and not run: " + outcomes.contradictionCount());
    System.out.println("answers of another request or cut short: " + outcomes.wrongAnswerCount());
    long violations =
        executedTwice
            + falseNotRun
            + falseRan
            + executedWithoutPermit
            + outcomes.contradictionCount()
            + outcomes.wrongAnswerCount();
    System.out.println("at-most-once: " + violations + " broken promises (aim 0)");
    // A system that executes nothing violates no guarantee, so at least 90 % of the permits must
    // have run.
    return violations == 0
        && outcomes.count(OutcomeLog.ReportedOutcome.RAN) >= requestCount * 9L / 10;
  }
}
