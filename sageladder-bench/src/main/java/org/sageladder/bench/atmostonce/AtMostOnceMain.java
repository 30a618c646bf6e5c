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

/** Counts executions per permit while entry VMs die, pause and stop and answers are lost. */
public final class AtMostOnceMain {
  private static final int ENTRIES = 6;
  private static final int TARGETS = 12;
  private static final int BIDDERS = 160;
  private static final int USUAL_REQUESTS = 8_000;
  private static final int FULL_REQUESTS = 100_000;

  private AtMostOnceMain() {}

  /** Takes {@code --full} for 100,000 requests instead of 8,000. */
  public static void main(String[] args) throws Exception {
    int requests = List.of(args).contains("--full") ? FULL_REQUESTS : USUAL_REQUESTS;
    try (TestBed bed = TestBed.start(4)) {
      bed.addTargets("bids", TARGETS, ServiceTime.fixed(4), 3);
      bed.addEntries(ENTRIES);
      for (TargetServer target : bed.targets()) {
        target.setFaults(
            TargetFaults.none().withTruncateProbability(0.01).withLateAnswers(0.02, 700));
      }
      Thread.sleep(1_000);
      Ledger ledger = new Ledger();
      Disorder disorder = new Disorder(bed, 20_261_202);
      Thread trouble = new Thread(disorder, "disorder");
      trouble.start();
      long start = System.nanoTime();
      run(bed, ledger, requests);
      disorder.end();
      trouble.join();
      boolean holds = report(bed, ledger, disorder, requests, System.nanoTime() - start);
      if (!holds) {
        System.out.print(bed.logs());
      }
      System.exit(holds ? 0 : 1);
    }
  }

  private static void run(TestBed bed, Ledger ledger, int requests) throws Exception {
    ExecutorService bidders = Executors.newFixedThreadPool(BIDDERS);
    ExecutorService strays = Executors.newFixedThreadPool(BIDDERS);
    Caller caller = Caller.create();
    AtomicInteger next = new AtomicInteger();
    List<Future<?>> running = new ArrayList<>();
    for (int i = 0; i < BIDDERS; i++) {
      Bidder bidder = new Bidder(bed, caller, ledger, strays, i);
      running.add(
          bidders.submit(
              () -> {
                for (int n = next.getAndIncrement(); n < requests; n = next.getAndIncrement()) {
                  bidder.bid("w" + n);
                }
                return null;
              }));
    }
    for (Future<?> each : running) {
      each.get();
    }
    bidders.shutdown();
    strays.shutdown();
    if (!strays.awaitTermination(30, TimeUnit.SECONDS)) {
      throw new IllegalStateException("late copies are still on their way after 30 s");
    }
    // What the last copies started must have shown itself at the targets.
    Thread.sleep(2_000);
  }

  private static boolean report(
      TestBed bed, Ledger ledger, Disorder disorder, int requests, long nanos) {
    long twice = 0;
    long notRunButRan = 0;
    long ranButDidNot = 0;
    long withoutPermit = 0;
    Map<String, Integer> runs = new java.util.HashMap<>();
    for (TargetServer target : bed.targets()) {
      for (String key : target.executions().keys()) {
        runs.merge(key, target.executions().count(key), Integer::sum);
      }
    }
    for (Map.Entry<String, Integer> run : runs.entrySet()) {
      twice += run.getValue() > 1 ? 1 : 0;
      withoutPermit += run.getKey().endsWith(".0") ? 1 : 0;
    }
    for (Map.Entry<String, Ledger.Told> told : ledger.words().entrySet()) {
      int count = runs.getOrDefault(told.getKey(), 0);
      notRunButRan += told.getValue() == Ledger.Told.NOT_RUN && count > 0 ? 1 : 0;
      ranButDidNot += told.getValue() == Ledger.Told.RAN && count == 0 ? 1 : 0;
    }
    System.out.println("requests: " + requests + " in " + nanos / 1_000_000_000 + " s");
    System.out.println("disorder: " + disorder.done());
    System.out.println(
        "permits used: "
            + ledger.words().size()
            + ", told ran "
            + ledger.count(Ledger.Told.RAN)
            + ", not run "
            + ledger.count(Ledger.Told.NOT_RUN)
            + ", unknown to the end "
            + ledger.count(Ledger.Told.UNKNOWN));
    System.out.println("refusals of the bidders' own copies: " + ledger.refusals());
    System.out.println("executions at targets: " + runs.values().stream().mapToInt(n -> n).sum());
    System.out.println("permits run more than once: " + twice);
    System.out.println("told not run and found run: " + notRunButRan);
    System.out.println("told ran and found not run: " + ranButDidNot);
    System.out.println("run without a permit: " + withoutPermit);
    System.out.println("told both ran and not run: " + ledger.contradictions());
    System.out.println("answers of another request or cut short: " + ledger.wrongAnswers());
    long faults =
        twice
            + notRunButRan
            + ranButDidNot
            + withoutPermit
            + ledger.contradictions()
            + ledger.wrongAnswers();
    System.out.println("at-most-once: " + faults + " broken promises (aim 0)");
    // A system that runs nothing breaks no promise: most permits must have run to prove anything.
    return faults == 0 && ledger.count(Ledger.Told.RAN) >= requests * 9L / 10;
  }
}
