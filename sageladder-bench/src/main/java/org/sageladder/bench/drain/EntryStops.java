package org.sageladder.bench.drain;

import java.io.IOException;
import java.time.Duration;
import org.HdrHistogram.Histogram;
import org.sageladder.bench.process.Caller;
import org.sageladder.bench.process.EntryProcess;
import org.sageladder.bench.process.Reply;
import org.sageladder.bench.process.TestBed;

/** Stops entry VMs by SIGTERM one after another and starts them again. */
final class EntryStops {
  private static final long LONGEST_SECONDS = 90;

  private final TestBed bed;
  private final Histogram toExit = new Histogram(120_000, 3);
  private final Caller caller = Caller.create();
  private int badExits;
  private int permitsLost;
  private int stops;

  EntryStops(TestBed bed) {
    this.bed = bed;
  }

  void stop(int number) throws IOException, InterruptedException {
    EntryProcess entry = bed.entries().get(number);
    String work = "handed" + stops;
    String permit = bid(entry, work, "").permit();
    long sign = System.nanoTime();
    bed.list(entry, true);
    entry.terminate();
    int code = entry.awaitEnd(LONGEST_SECONDS);
    toExit.recordValue((System.nanoTime() - sign) / 1_000_000);
    stops++;
    System.out.println(entry.lastWords());
    if (code != 0) {
      badExits++;
      entry.kill();
    }
    EntryProcess other = bed.entries().get((number + 1) % bed.entries().size());
    Reply reply = bid(other, work, permit);
    // "Not run" is the successor's own word, with a fresh permit; only "unknown" shows a lost one.
    if (!reply.ran() && !reply.notRun()) {
      permitsLost++;
      System.out.println("permit of a stopped entry VM: " + reply.status() + " " + reply.result());
    }
    entry.restart();
    bed.list(entry, false);
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

  /** The baseline: the process is ended at once. */
  void kill(int number) throws IOException, InterruptedException {
    EntryProcess entry = bed.entries().get(number);
    bed.list(entry, true);
    entry.kill();
    stops++;
    entry.restart();
    bed.list(entry, false);
    Thread.sleep(1_500);
  }

  int stops() {
    return stops;
  }

  /** Stops that did not end with exit code 0. */
  int badExits() {
    return badExits;
  }

  /** Permits of stopped entry VMs that could not be used at another one afterwards. */
  int permitsLost() {
    return permitsLost;
  }

  void print() {
    System.out.println(
        "entry VMs: "
            + stops
            + " stops; SIGTERM to exit p50 "
            + toExit.getValueAtPercentile(50)
            + " ms, p99 "
            + toExit.getValueAtPercentile(99)
            + " ms; exit codes other than 0: "
            + badExits
            + "; permits not taken over: "
            + permitsLost);
  }
}
