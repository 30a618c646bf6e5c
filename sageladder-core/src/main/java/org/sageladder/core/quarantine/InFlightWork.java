package org.sageladder.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which requests are on which target now, and which were cut off there a moment ago.
 *
 * <p>A crash cuts all connections to a target within milliseconds of each other, each seen by
 * itself. So a cut request stays on the books until the crash is confirmed or refuted.
 */
public final class InFlightWork {
  private final Object lock = new Object();
  // Both guarded by lock: fingerprints by target, with how often each is there.
  private final Map<String, Map<Long, Integer>> running = new HashMap<>();
  private final Map<String, Set<Long>> cut = new HashMap<>();

  private InFlightWork() {}

  /** No request on any target. */
  public static InFlightWork create() {
    return new InFlightWork();
  }

  /** A request was sent to {@code target}. */
  public void started(String target, long fingerprint) {
    synchronized (lock) {
      running
          .computeIfAbsent(target, ignored -> new HashMap<>())
          .merge(fingerprint, 1, Integer::sum);
    }
  }

  /** The request ended; {@code wasCut} where its connection failed before the answer was whole. */
  public void ended(String target, long fingerprint, boolean wasCut) {
    synchronized (lock) {
      Map<Long, Integer> there = running.get(target);
      if (there != null) {
        there.computeIfPresent(fingerprint, (key, count) -> count > 1 ? count - 1 : null);
        if (there.isEmpty()) {
          running.remove(target);
        }
      }
      if (wasCut) {
        cut.computeIfAbsent(target, ignored -> new HashSet<>()).add(fingerprint);
      }
    }
  }

  /** The target has crashed: takes what was cut off there. */
  public Set<Long> takeCut(String target) {
    synchronized (lock) {
      Set<Long> fingerprints = cut.remove(target);
      return fingerprints == null ? Set.of() : fingerprints;
    }
  }
}
