package org.sageladder.bench.atmostonce;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** What callers were told of each piece of work; one key for each permit used. */
final class Ledger {
  /** The last word a caller was given. */
  enum Told {
    RAN,
    NOT_RUN,
    UNKNOWN
  }

  private final Map<String, Told> byKey = new ConcurrentHashMap<>();
  private final Map<String, Integer> refusals = new ConcurrentHashMap<>();
  private final LongAdder contradictions = new LongAdder();
  private final LongAdder wrongAnswers = new LongAdder();

  /** Notes an answer; "ran" and "not run" are final, and both for one key contradict each other. */
  void told(String key, Told word) {
    byKey.merge(
        key,
        word,
        (before, now) -> {
          if (now == Told.UNKNOWN) {
            return before;
          }
          if (before != Told.UNKNOWN && before != now) {
            contradictions.increment();
          }
          return now;
        });
  }

  /** Notes why a permit ended without a run. */
  void refused(String result) {
    refusals.merge(result, 1, Integer::sum);
  }

  /** Refusals by result. */
  Map<String, Integer> refusals() {
    return new TreeMap<>(refusals);
  }

  void wrongAnswer() {
    wrongAnswers.increment();
  }

  Map<String, Told> words() {
    return byKey;
  }

  long contradictions() {
    return contradictions.sum();
  }

  long wrongAnswers() {
    return wrongAnswers.sum();
  }

  long count(Told word) {
    return byKey.values().stream().filter(each -> each == word).count();
  }
}
