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
  /** Answers that count in the mean of a service. */
  private static final int ANSWERS = 20;

  private final Map<String, RunningMean> services = new HashMap<>();

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
    services
        .computeIfAbsent(service, name -> RunningMean.ofLast(ANSWERS))
        .add(millis / (1 + rounds));
  }

  /** Mean time for which a request holds a slot; empty until one was answered. */
  OptionalDouble millis(String service) {
    RunningMean mean = services.get(service);
    return mean == null ? OptionalDouble.empty() : OptionalDouble.of(mean.value());
  }
}
