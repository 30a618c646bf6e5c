package org.sageladder.bench.atmostonce;

import java.io.IOException;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.sageladder.bench.process.EntryProcess;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.store.StoreFaults;

/**
 * Injects random faults drawn from a seed: kills, pauses and stops entry daemons, crashes targets,
 * and makes the store slow or unavailable.
 */
final class FaultInjector implements Runnable {
  private final TestBed bed;
  private final SplittableRandom random;
  private final Map<String, Integer> countsByFault = new TreeMap<>();
  private volatile boolean isStopped;

  FaultInjector(TestBed bed, long seed) {
    this.bed = bed;
    this.random = new SplittableRandom(seed);
  }

  void stop() {
    isStopped = true;
  }

  synchronized Map<String, Integer> countsByFault() {
    return new TreeMap<>(countsByFault);
  }

  @Override
  public void run() {
    try {
      while (!isStopped) {
        Thread.sleep(150 + random.nextInt(300));
        injectFault();
      }
      bed.store().setFaults(StoreFaults.none());
    } catch (IOException e) {
      throw new IllegalStateException("fault injection failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void injectFault() throws IOException, InterruptedException {
    EntryProcess entry = bed.entries().get(random.nextInt(bed.entries().size()));
    int draw = random.nextInt(100);
    if (draw < 20) {
      countFault("entry killed");
      entry.kill();
      Thread.sleep(random.nextInt(300));
      entry.restart();
      bed.listEntry(entry, false);
    } else if (draw < 50) {
      countFault("entry paused");
      entry.pause();
      Thread.sleep(100 + random.nextInt(1_900));
      entry.resume();
    } else if (draw < 60) {
      countFault("entry stopped by SIGTERM");
      bed.listEntry(entry, true);
      entry.terminate();
      if (entry.awaitEnd(30) < 0) {
        entry.kill();
      }
      entry.restart();
      bed.listEntry(entry, false);
    } else if (draw < 75) {
      countFault("target crashed");
      bed.targets().get(random.nextInt(bed.targets().size())).crash();
    } else if (draw < 88) {
      countFault("store down");
      bed.store().setFaults(StoreFaults.none().withDown(true));
      Thread.sleep(500 + random.nextInt(1_500));
      bed.store().setFaults(StoreFaults.none());
    } else {
      countFault("store slow");
      bed.store().setFaults(StoreFaults.none().withSlowMillis(400));
      Thread.sleep(500 + random.nextInt(1_000));
      bed.store().setFaults(StoreFaults.none());
    }
  }

  private synchronized void countFault(String fault) {
    countsByFault.merge(fault, 1, Integer::sum);
  }
}
