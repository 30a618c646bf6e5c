package org.sageladder.bench.atmostonce;

import java.io.IOException;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.sageladder.bench.process.EntryProcess;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.store.StoreFaults;

/** Kills, pauses and stops entry daemons, crashes targets and takes the store down, by a seed. */
final class Disorder implements Runnable {
  private final TestBed bed;
  private final SplittableRandom random;
  private final Map<String, Integer> done = new TreeMap<>();
  private volatile boolean over;

  Disorder(TestBed bed, long seed) {
    this.bed = bed;
    this.random = new SplittableRandom(seed);
  }

  void end() {
    over = true;
  }

  synchronized Map<String, Integer> done() {
    return new TreeMap<>(done);
  }

  @Override
  public void run() {
    try {
      while (!over) {
        Thread.sleep(150 + random.nextInt(300));
        oneEvent();
      }
      bed.store().setFaults(StoreFaults.none());
    } catch (IOException e) {
      throw new IllegalStateException("the disorder ended early", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void oneEvent() throws IOException, InterruptedException {
    EntryProcess entry = bed.entries().get(random.nextInt(bed.entries().size()));
    int draw = random.nextInt(100);
    if (draw < 20) {
      count("entry killed");
      entry.kill();
      Thread.sleep(random.nextInt(300));
      entry.restart();
      bed.list(entry, false);
    } else if (draw < 50) {
      count("entry paused");
      entry.pause();
      Thread.sleep(100 + random.nextInt(1_900));
      entry.resume();
    } else if (draw < 60) {
      count("entry stopped by SIGTERM");
      bed.list(entry, true);
      entry.terminate();
      if (entry.awaitEnd(30) < 0) {
        entry.kill();
      }
      entry.restart();
      bed.list(entry, false);
    } else if (draw < 75) {
      count("target crashed");
      bed.targets().get(random.nextInt(bed.targets().size())).crash();
    } else if (draw < 88) {
      count("store down");
      bed.store().setFaults(StoreFaults.none().withDown(true));
      Thread.sleep(500 + random.nextInt(1_500));
      bed.store().setFaults(StoreFaults.none());
    } else {
      count("store slow");
      bed.store().setFaults(StoreFaults.none().withSlowMillis(400));
      Thread.sleep(500 + random.nextInt(1_000));
      bed.store().setFaults(StoreFaults.none());
    }
  }

  private synchronized void count(String event) {
    done.merge(event, 1, Integer::sum);
  }
}
