package org.sageladder.core.observation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.sageladder.core.placing.LoadReport;

/** Own observations that have not been sent yet; the oldest are dropped when it is full. */
final class ObservationBuffer {
  private final int capacity;
  private final long maxAgeMillis;
  private final Deque<TargetObservation> newestFirst = new ArrayDeque<>();

  ObservationBuffer(int capacity, long maxAgeMillis) {
    this.capacity = capacity;
    this.maxAgeMillis = maxAgeMillis;
  }

  void add(TargetObservation observation) {
    newestFirst.addFirst(observation);
    if (newestFirst.size() > capacity) {
      newestFirst.removeLast();
    }
  }

  boolean isEmpty() {
    return newestFirst.isEmpty();
  }

  void clear() {
    newestFirst.clear();
  }

  /** Removes all observations and returns the newest that are not too old. */
  List<ObservationDigest.Entry> drain(int maxEntries, long nowMillis) {
    List<ObservationDigest.Entry> entries = new ArrayList<>();
    for (TargetObservation observation : newestFirst) {
      long ageMillis = nowMillis - observation.observedAtMillis();
      if (entries.size() == maxEntries || ageMillis > maxAgeMillis) {
        break;
      }
      entries.add(entry(observation, (int) ageMillis));
    }
    newestFirst.clear();
    return entries;
  }

  private static ObservationDigest.Entry entry(TargetObservation observation, int ageMillis) {
    LoadReport load = observation.load();
    return new ObservationDigest.Entry(
        observation.targetHash(),
        observation.object(),
        load == null
            ? null
            : new ObservationDigest.Load(load.running(), load.waiting(), load.runTimeFactor()),
        ageMillis);
  }
}
