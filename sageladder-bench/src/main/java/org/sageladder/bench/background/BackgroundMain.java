package org.sageladder.bench.background;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.sageladder.bench.process.Caller;
import org.sageladder.bench.process.Reply;
import org.sageladder.bench.process.TestBed;
import org.sageladder.client.Answer;
import org.sageladder.client.ClientOptions;
import org.sageladder.client.Request;
import org.sageladder.client.SageladderClient;
import org.sageladder.standin.target.RequestChecksum;
import org.sageladder.standin.target.ServiceTime;
import org.sageladder.standin.target.TargetFaults;
import org.sageladder.standin.target.TargetServer;

/**
 * Downloads large catalogue records ("pulls") while interactive callers request listings, responses
 * are truncated, and entry VMs, targets and the store fail. Reports whether all pulls complete, how
 * long the slowest takes, and the latency of the listings.
 */
public final class BackgroundMain {
  private static final int RECORD_BYTES = 4 << 20;
  private static final int PULLERS = 40;
  private static final int INTERACTIVE_CALLERS = 12;
  private static final int LISTING_BYTES = 512;
  private static final Duration PULL_DEADLINE = Duration.ofMinutes(5);
  private static final long MAX_PULL_MILLIS = 45_000;

  private final TestBed bed;
  private final Histogram pullMillis = new ConcurrentHistogram(600_000, 3);
  private final LongAdder attemptCount = new LongAdder();
  private final LongAdder restartCount = new LongAdder();
  private final LongAdder wrongCount = new LongAdder();
  private final LongAdder completeCount = new LongAdder();
  private volatile boolean isStopped;

  private BackgroundMain(TestBed bed) {
    this.bed = bed;
  }

  /** Runs 1,500 pulls, or 5,000 with {@code --full}. */
  public static void main(String[] args) throws Exception {
    int count = List.of(args).contains("--full") ? 5_000 : 1_500;
    try (TestBed bed = TestBed.start(100)) {
      bed.addTargets("archive", 4, ServiceTime.fixed(300), 4);
      bed.addTargets("listings", 4, ServiceTime.fixed(20), 3);
      bed.addEntries(4);
      for (TargetServer target : bed.targets().subList(0, 4)) {
        target.setFaults(TargetFaults.none().withTruncateProbability(0.2));
      }
      Thread.sleep(2_000);
      boolean hasPassed = new BackgroundMain(bed).run(count);
      if (!hasPassed) {
        System.out.print(bed.logTails());
      }
      System.exit(hasPassed ? 0 : 1);
    }
  }

  private boolean run(int count) throws Exception {
    Histogram baselineMillis = listFor(Duration.ofSeconds(6));
    ExecutorService listing = Executors.newSingleThreadExecutor();
    Future<Histogram> listingDuringPulls = listing.submit(() -> listUntilStopped());
    long startNanos = System.nanoTime();
    PeriodicFaultInjector injector = PeriodicFaultInjector.start(bed);
    List<String> seeds =
        bed.entries().stream().map(entry -> "127.0.0.1:" + entry.callersPort()).toList();
    try (SageladderClient client = SageladderClient.start(ClientOptions.seeds(seeds))) {
      pullAll(client, count);
    }
    long seconds = Math.max(1, (System.nanoTime() - startNanos) / 1_000_000_000);
    injector.stop();
    isStopped = true;
    Histogram loadedMillis = listingDuringPulls.get();
    listing.shutdown();
    System.out.println(
        count + " pulls of 4 MB by " + PULLERS + " pullers on 16 slots in " + seconds + " s");
    System.out.println(
        "whole "
            + completeCount
            + ", wrong "
            + wrongCount
            + ", tries "
            + attemptCount
            + ", begun anew as a whole "
            + restartCount
            + "; faults "
            + injector.countsByFault());
    System.out.println(
        "pull from first try to whole: p50 "
            + pullMillis.getValueAtPercentile(50)
            + " ms, longest "
            + pullMillis.getMaxValue()
            + " ms");
    System.out.println(
        "listings without pulls p50/p99 "
            + baselineMillis.getValueAtPercentile(50)
            + "/"
            + baselineMillis.getValueAtPercentile(99)
            + " ms, beside pulls "
            + loadedMillis.getValueAtPercentile(50)
            + "/"
            + loadedMillis.getValueAtPercentile(99)
            + " ms");
    boolean hasPassed =
        completeCount.sum() == count
            && wrongCount.sum() == 0
            && pullMillis.getMaxValue() <= MAX_PULL_MILLIS;
    System.out.println(
        "background: "
            + pullMillis.getMaxValue()
            + " ms for the longest of "
            + completeCount
            + " whole pulls (aim all whole, at most "
            + MAX_PULL_MILLIS
            + ")");
    return hasPassed;
  }

  private void pullAll(SageladderClient client, int count)
      throws InterruptedException, ExecutionException {
    AtomicInteger nextNumber = new AtomicInteger();
    List<Callable<Void>> pullers = new ArrayList<>();
    for (int i = 0; i < PULLERS; i++) {
      pullers.add(
          () -> {
            for (int n = nextNumber.getAndIncrement();
                n < count;
                n = nextNumber.getAndIncrement()) {
              pull(client, n);
            }
            return null;
          });
    }
    runAll(pullers);
  }

  /**
   * Fetches one record with the client library, which resumes it in parts until it is complete or
   * the deadline has passed.
   */
  private void pull(SageladderClient client, int number) {
    String path = "/records?answerBytes=" + RECORD_BYTES + "&work=pull" + number;
    CheckedSink sink = CheckedSink.of(RequestChecksum.of("GET", path, new byte[0]));
    long startNanos = System.nanoTime();
    Answer answer =
        client.fetch(
            Request.get(TestBed.CUSTOMER, "archive", number % 1_000, path).deadline(PULL_DEADLINE),
            sink);
    pullMillis.recordValue(millisSince(startNanos));
    attemptCount.add(answer.attemptCount());
    restartCount.add(sink.restartCount());
    if (answer instanceof Answer.Complete) {
      (sink.isComplete(RECORD_BYTES) ? completeCount : wrongCount).increment();
    } else {
      System.out.println("pull " + number + " ended as " + answer);
    }
  }

  private Histogram listUntilStopped() throws InterruptedException, ExecutionException {
    Histogram latency = new ConcurrentHistogram(60_000, 3);
    sendListings(latency, Long.MAX_VALUE);
    return latency;
  }

  private Histogram listFor(Duration duration) throws InterruptedException, ExecutionException {
    Histogram latency = new ConcurrentHistogram(60_000, 3);
    sendListings(latency, System.nanoTime() + duration.toNanos());
    return latency;
  }

  private void sendListings(Histogram latencyMillis, long untilNanos)
      throws InterruptedException, ExecutionException {
    List<Callable<Void>> callers = new ArrayList<>();
    for (int i = 0; i < INTERACTIVE_CALLERS; i++) {
      int seed = i;
      callers.add(
          () -> {
            Caller caller = Caller.create();
            SplittableRandom random = new SplittableRandom(seed);
            int port = randomPort(random);
            while (!isStopped && System.nanoTime() < untilNanos) {
              long startNanos = System.nanoTime();
              Reply reply =
                  caller.send(
                      port,
                      "GET",
                      "listings",
                      "/lots?answerBytes=" + LISTING_BYTES + "&work=l" + random.nextLong(1 << 30),
                      new byte[0],
                      "",
                      Duration.ofSeconds(3),
                      Duration.ofSeconds(4));
              if (reply.ran()) {
                latencyMillis.recordValue(millisSince(startNanos));
              }
              if (!reply.ran() || reply.shouldLookUpAgain()) {
                port = randomPort(random);
              }
              Thread.sleep(random.nextInt(60));
            }
            return null;
          });
    }
    runAll(callers);
  }

  private static void runAll(List<Callable<Void>> tasks)
      throws InterruptedException, ExecutionException {
    ExecutorService pool = Executors.newFixedThreadPool(tasks.size());
    for (Future<Void> each : pool.invokeAll(tasks)) {
      each.get();
    }
    pool.shutdown();
  }

  private static long millisSince(long startNanos) {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private int randomPort(SplittableRandom random) {
    return bed.entries().get(random.nextInt(bed.entries().size())).callersPort();
  }
}
