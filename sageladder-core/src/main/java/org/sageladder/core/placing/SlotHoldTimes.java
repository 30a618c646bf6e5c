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
final class SlotHoldTimes {
  /** Answers that count in the mean of a service. */
  private static final int ANSWER_WINDOW = 20;

  private final Map<String, RunningMean> meansByService = new HashMap<>();

  private SlotHoldTimes() {}

  /** Slot times with nothing measured yet. */
  static SlotHoldTimes create() {
    return new SlotHoldTimes();
  }

  /**
   * Takes the time of one answer.
   *
   * @param millis from its arrival at the target to its end
   * @param queueRounds requests that waited there, for each slot
   */
  void recordAnswer(String service, double millis, double queueRounds) {
    meansByService
        .computeIfAbsent(service, name -> RunningMean.ofLast(ANSWER_WINDOW))
        .add(millis / (1 + queueRounds));
  }

  /** Mean time for which a request holds a slot; empty until one was answered. */
  OptionalDouble meanMillis(String service) {
    RunningMean mean = meansByService.get(service);
    return mean == null ? OptionalDouble.empty() : OptionalDouble.of(mean.value());
  }
}
