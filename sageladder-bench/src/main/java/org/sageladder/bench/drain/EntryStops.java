package org.sageladder.bench.drain;

import java.io.IOException;
import java.time.Duration;
import org.HdrHistogram.Histogram;
import org.sageladder.bench.process.Caller;
import org.sageladder.bench.process.EntryProcess;
import org.sageladder.bench.process.Reply;
import org.sageladder.bench.process.TestBed;

/** Stops entry VMs by SIGTERM one at a time and restarts them. */
final class EntryStops {
  private static final long MAX_STOP_SECONDS = 90;

  private final TestBed bed;
  private final Histogram millisToExit = new Histogram(120_000, 3);
  private final Caller caller = Caller.create();
  private int failedExitCount;
  private int lostPermitCount;
  private int stopCount;

  EntryStops(TestBed bed) {
    this.bed = bed;
  }

  void stopEntry(int number) throws IOException, InterruptedException {
    EntryProcess entry = bed.entries().get(number);
    String work = "handed" + stopCount;
    String permit = bid(entry, work, "").permit();
    long startNanos = System.nanoTime();
    bed.listEntry(entry, true);
    entry.terminate();
    int code = entry.awaitEnd(MAX_STOP_SECONDS);
    millisToExit.recordValue((System.nanoTime() - startNanos) / 1_000_000);
    stopCount++;
    System.out.println(entry.lastOutputLine());
    if (code != 0) {
      failedExitCount++;
      entry.kill();
    }
    EntryProcess other = bed.entries().get((number + 1) % bed.entries().size());
    Reply reply = bid(other, work, permit);
    // "Not run" comes from the successor, which holds the permit and issues a new one; only
    // "unknown" means that the permit was lost.
    if (!reply.ran() && !reply.isNotRun()) {
      lostPermitCount++;
      System.out.println("permit of a stopped entry VM: " + reply.status() + " " + reply.result());
    }
    entry.restart();
    bed.listEntry(entry, false);
    Thread.sleep(1_500);
  }

  private Reply bid(EntryProcess entry, String work, String permit) throws InterruptedException {
    return caller.send(
        entry.callersPort(),
        "POST",
        "bids",
        "/lots/7?work=" + work,
        new byte[] {1},
        permit,
        Duration.ofSeconds(5),
        Duration.ofSeconds(7));
  }

  /** Kills and restarts an entry VM, as the baseline. */
  void killEntry(int number) throws IOException, InterruptedException {
    EntryProcess entry = bed.entries().get(number);
    bed.listEntry(entry, true);
    entry.kill();
    stopCount++;
    entry.restart();
    bed.listEntry(entry, false);
    Thread.sleep(1_500);
  }

  int stopCount() {
    return stopCount;
  }

  /** Stops with an exit code other than 0. */
  int failedExitCount() {
    return failedExitCount;
  }

  /** Permits of stopped entry VMs that could not be used at another entry VM afterwards. */
  int lostPermitCount() {
    return lostPermitCount;
  }

  void print() {
    System.out.println(
        "entry VMs: "
            + stopCount
            + " stops; SIGTERM to exit p50 "
            + millisToExit.getValueAtPercentile(50)
            + " ms, p99 "
            + millisToExit.getValueAtPercentile(99)
            + " ms; exit codes other than 0: "
            + failedExitCount
            + "; permits not taken over: "
            + lostPermitCount);
  }
}
