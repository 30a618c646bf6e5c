package org.sageladder.core.placing;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Time for which requests of each service hold a slot, over all routes.
 *
 * <p>Requests in a target's queue wait for as long as those ahead of them hold their slots. The
 * time is estimated from all answers, including those of targets with a queue. The requests that
 * were ahead of an answered request are assumed to be as many as wait behind it, since a queue in
 * steady state has the same length on arrival and on departure.
 *
 * <pre>{@code
 * SlotHoldTimes slotHoldTimes = SlotHoldTimes.create();
 * slotHoldTimes.recordAnswer("search", 800, 3); // nine requests were ahead of it for three slots
 * slotHoldTimes.meanMillis("search"); // 200
 * }</pre>
 */
final class SlotHoldTimes {
  /** Number of recent answers that the mean of a service covers. */
  private static final int ANSWER_WINDOW = 20;

  private final Map<String, RunningMean> meansByService = new HashMap<>();

  private SlotHoldTimes() {}

  /** Creates slot hold times with nothing measured yet. */
  static SlotHoldTimes create() {
    return new SlotHoldTimes();
  }

  /**
   * Records the time of one answer.
   *
   * @param millis from its arrival at the target to its end
   * @param queueRounds requests in the target's queue, per slot
   */
  void recordAnswer(String service, double millis, double queueRounds) {
    meansByService
        .computeIfAbsent(service, name -> RunningMean.ofLast(ANSWER_WINDOW))
        .add(millis / (1 + queueRounds));
  }

  /** Returns the mean time for which a request holds a slot; empty until one was answered. */
  OptionalDouble meanMillis(String service) {
    RunningMean mean = meansByService.get(service);
    return mean == null ? OptionalDouble.empty() : OptionalDouble.of(mean.value());
  }
}
