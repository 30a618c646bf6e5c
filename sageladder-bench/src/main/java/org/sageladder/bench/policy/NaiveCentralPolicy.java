package org.sageladder.bench.policy;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/**
 * Reference policy: a central scheduler that sees all regions without delay and places each
 * request.
 *
 * <p>It recounts all admissions for each cap at every request, which is slow but simple to verify.
 */
final class NaiveCentralPolicy {
  private static final long MAX_QUEUE_WAIT_NANOS = Duration.ofSeconds(1).toNanos();

  private final Setup setup;
  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final AdmissionLog admissionLog;
  private final Random serviceTimeRandom;
  private final Map<String, Integer> busySlotsByTarget = new HashMap<>();
  private final List<ArrayDeque<Long>> queueDeadlinesByRegion = new ArrayList<>();

  private NaiveCentralPolicy(Setup setup) {
    this.setup = setup;
    this.admissionLog = new AdmissionLog(setup);
    this.serviceTimeRandom = new Random(setup.seed());
    for (int region = 0; region < setup.regionCount(); region++) {
      queueDeadlinesByRegion.add(new ArrayDeque<>());
    }
  }

  static AdmissionLog run(Setup setup, Demand demand, int seconds) {
    NaiveCentralPolicy central = new NaiveCentralPolicy(setup);
    Arrivals arrivals = new Arrivals(setup, demand);
    for (int tick = 0; tick < seconds * Arrivals.TICKS_PER_SECOND; tick++) {
      for (int region : arrivals.drawCallerRegions(tick)) {
        central.enqueueArrival(region);
      }
      central.admitQueued();
      central.scheduler.advance(Arrivals.TICK);
    }
    return central.admissionLog;
  }

  private void enqueueArrival(int region) {
    admissionLog.recordOffered();
    int maxQueueLength = 8 * setup.targetCount() / setup.regionCount();
    if (queueDeadlinesByRegion.get(region).size() < maxQueueLength) {
      queueDeadlinesByRegion.get(region).add(scheduler.time().nanos() + MAX_QUEUE_WAIT_NANOS);
    }
  }

  private void admitQueued() {
    for (int region = 0; region < setup.regionCount(); region++) {
      Iterator<Long> deadlines = queueDeadlinesByRegion.get(region).iterator();
      while (deadlines.hasNext()) {
        if (deadlines.next() <= scheduler.time().nanos()) {
          deadlines.remove();
          continue;
        }
        Placement placement = choosePlacement(region);
        if (placement == null) {
          break;
        }
        deadlines.remove();
        admit(placement, region);
      }
    }
  }

  private record Placement(String region, String target) {}

  private @Nullable Placement choosePlacement(int callerRegion) {
    for (int i = 0; i < setup.regionCount(); i++) {
      String region = "r" + (callerRegion + i) % setup.regionCount();
      if (!admissionLog.allowsOneMore(
          "region " + region, setup.regionGainRequests(), scheduler.time().nanos())) {
        continue;
      }
      Placement best = null;
      for (int t = 0; t < setup.targetCount() / setup.regionCount(); t++) {
        String target = region + "t" + t;
        if (canAdmit(target) && (best == null || busySlots(target) < busySlots(best.target()))) {
          best = new Placement(region, target);
        }
      }
      if (best != null) {
        return best;
      }
    }
    return null;
  }

  private boolean canAdmit(String target) {
    return busySlots(target) < setup.slotsPerTarget()
        && admissionLog.allowsOneMore(
            "target " + target, setup.targetGainRequests(), scheduler.time().nanos());
  }

  private int busySlots(String target) {
    return busySlotsByTarget.getOrDefault(target, 0);
  }

  private void admit(Placement placement, int callerRegion) {
    busySlotsByTarget.merge(placement.target(), 1, Integer::sum);
    admissionLog.recordAdmitted(
        placement.target(), placement.region(), "r" + callerRegion, scheduler.time().nanos());
    scheduler.runAfter(
        Arrivals.drawServiceTime(setup, serviceTimeRandom),
        () -> {
          busySlotsByTarget.merge(placement.target(), -1, Integer::sum);
          admissionLog.recordAnswered(placement.target());
        });
  }
}
