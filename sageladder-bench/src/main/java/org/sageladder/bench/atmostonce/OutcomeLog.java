package org.sageladder.bench.atmostonce;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** The outcome reported to callers for each request; there is one key for each permit used. */
final class OutcomeLog {
  /** The last outcome that was reported to a caller. */
  enum ReportedOutcome {
    RAN,
    NOT_RUN,
    UNKNOWN
  }

  private final Map<String, ReportedOutcome> outcomesByKey = new ConcurrentHashMap<>();
  private final Map<String, Integer> refusalsByResult = new ConcurrentHashMap<>();
  private final LongAdder contradictionCount = new LongAdder();
  private final LongAdder wrongAnswerCount = new LongAdder();

  /**
   * Records an outcome. "Ran" and "not run" are final; both for the same key are a contradiction.
   */
  void recordOutcome(String key, ReportedOutcome outcome) {
    outcomesByKey.merge(
        key,
        outcome,
        (previous, current) -> {
          if (current == ReportedOutcome.UNKNOWN) {
            return previous;
          }
          if (previous != ReportedOutcome.UNKNOWN && previous != current) {
            contradictionCount.increment();
          }
          return current;
        });
  }

  /** Records the result code with which a request was refused under a permit. */
  void recordRefusal(String result) {
    refusalsByResult.merge(result, 1, Integer::sum);
  }

  /** Number of refusals by result code. */
  Map<String, Integer> refusalsByResult() {
    return new TreeMap<>(refusalsByResult);
  }

  void recordWrongAnswer() {
    wrongAnswerCount.increment();
  }

  Map<String, ReportedOutcome> outcomesByKey() {
    return outcomesByKey;
  }

  long contradictionCount() {
    return contradictionCount.sum();
  }

  long wrongAnswerCount() {
    return wrongAnswerCount.sum();
  }

  long count(ReportedOutcome outcome) {
    return outcomesByKey.values().stream().filter(each -> each == outcome).count();
  }
}
