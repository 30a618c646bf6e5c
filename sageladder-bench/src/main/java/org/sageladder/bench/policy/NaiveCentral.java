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
 * The reference: one place that sees all regions without delay and decides each request by itself.
 *
 * <p>It counts every cap anew from all admissions for each request: slow, and plainly right.
 */
final class NaiveCentral {
  private static final long WAIT_NANOS = Duration.ofSeconds(1).toNanos();

  private final Setup setup;
  private final Agenda agenda = new Agenda();
  private final Tally tally;
  private final Random service;
  private final Map<String, Integer> busy = new HashMap<>();
  private final List<ArrayDeque<Long>> waiting = new ArrayList<>();

  private NaiveCentral(Setup setup) {
    this.setup = setup;
    this.tally = new Tally(setup);
    this.service = new Random(setup.seed());
    for (int region = 0; region < setup.regions(); region++) {
      waiting.add(new ArrayDeque<>());
    }
  }

  static Tally run(Setup setup, Demand demand, int seconds) {
    NaiveCentral central = new NaiveCentral(setup);
    Arrivals arrivals = new Arrivals(setup, demand);
    for (int tick = 0; tick < seconds * Arrivals.TICKS; tick++) {
      for (int region : arrivals.of(tick)) {
        central.arrive(region);
      }
      central.serveWaiting();
      central.agenda.advance(Arrivals.TICK);
    }
    return central.tally;
  }

  private void arrive(int region) {
    tally.offered();
    int most = 8 * setup.targets() / setup.regions();
    if (waiting.get(region).size() < most) {
      waiting.get(region).add(agenda.time().nanos() + WAIT_NANOS);
    }
  }

  private void serveWaiting() {
    for (int region = 0; region < setup.regions(); region++) {
      Iterator<Long> oldestFirst = waiting.get(region).iterator();
      while (oldestFirst.hasNext()) {
        if (oldestFirst.next() <= agenda.time().nanos()) {
          oldestFirst.remove();
          continue;
        }
        Place place = choose(region);
        if (place == null) {
          break;
        }
        oldestFirst.remove();
        admit(place, region);
      }
    }
  }

  private record Place(String region, String target) {}

  private @Nullable Place choose(int home) {
    for (int i = 0; i < setup.regions(); i++) {
      String region = "r" + (home + i) % setup.regions();
      if (!tally.mayGrow("region " + region, setup.regionGain(), agenda.time().nanos())) {
        continue;
      }
      Place best = null;
      for (int t = 0; t < setup.targets() / setup.regions(); t++) {
        String target = region + "t" + t;
        if (mayTake(target) && (best == null || busyAt(target) < busyAt(best.target()))) {
          best = new Place(region, target);
        }
      }
      if (best != null) {
        return best;
      }
    }
    return null;
  }

  private boolean mayTake(String target) {
    return busyAt(target) < setup.slots()
        && tally.mayGrow("target " + target, setup.targetGain(), agenda.time().nanos());
  }

  private int busyAt(String target) {
    return busy.getOrDefault(target, 0);
  }

  private void admit(Place place, int home) {
    busy.merge(place.target(), 1, Integer::sum);
    tally.admitted(place.target(), place.region(), "r" + home, agenda.time().nanos());
    agenda.runAfter(
        Arrivals.serviceTime(setup, service),
        () -> {
          busy.merge(place.target(), -1, Integer::sum);
          tally.answered(place.target());
        });
  }
}
