package org.sageladder.bench.atmostonce;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** What callers were told of each piece of work; one key for each permit used. */
final class OutcomeLog {
  /** The last word a caller was given. */
  enum ReportedOutcome {
    RAN,
    NOT_RUN,
    UNKNOWN
  }

  private final Map<String, ReportedOutcome> outcomesByKey = new ConcurrentHashMap<>();
  private final Map<String, Integer> refusalsByResult = new ConcurrentHashMap<>();
  private final LongAdder contradictionCount = new LongAdder();
  private final LongAdder wrongAnswerCount = new LongAdder();

  /** Notes an answer; "ran" and "not run" are final, and both for one key contradict each other. */
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

  /** Notes why a permit ended without a run. */
  void recordRefusal(String result) {
    refusalsByResult.merge(result, 1, Integer::sum);
  }

  /** Refusals by result. */
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
