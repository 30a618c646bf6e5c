package org.sageladder.core.placing;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * How long requests of each service hold a slot, whatever their route.
 *
 * <p>This is what those that wait in a target's queue wait for. Learnt from all answers, also of
 * targets with a queue: an answer has waited for those ahead of it, which are taken to have been as
 * many as wait behind it, since a queue that neither grows nor shrinks is met and left at the same
 * length.
 *
 * <pre>{@code
 * SlotTimes slotTimes = SlotTimes.create();
 * slotTimes.answered("search", 800, 3); // nine were ahead of it for three slots
 * slotTimes.millis("search"); // 200
 * }</pre>
 */
final class SlotTimes {
  /** Part of a new answer in the mean; about the last twenty answers count. */
  private static final double STEP = 0.05;

  private static final class Mean {
    double millis;
    long answers;
  }

  private final Map<String, Mean> services = new HashMap<>();

  private SlotTimes() {}

  /** Slot times with nothing measured yet. */
  static SlotTimes create() {
    return new SlotTimes();
  }

  /**
   * Takes the time of one answer.
   *
   * @param millis from its arrival at the target to its end
   * @param rounds requests that waited there, for each slot
   */
  void answered(String service, double millis, double rounds) {
    Mean mean = services.computeIfAbsent(service, name -> new Mean());
    mean.answers++;
    double held = millis / (1 + rounds);
    mean.millis += Math.max(STEP, 1.0 / mean.answers) * (held - mean.millis);
  }

  /** Mean time for which a request holds a slot; empty until one was answered. */
  OptionalDouble millis(String service) {
    Mean mean = services.get(service);
    return mean == null ? OptionalDouble.empty() : OptionalDouble.of(mean.millis);
  }
}
