package org.sageladder.standin.target;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts the starts of each request, so that tests can verify at-most-once execution.
 *
 * <p>The counts survive a crash of the target: a repeat after a restart counts as a second run.
 */
public final class Executions {
  private final Map<String, Integer> startsByKey = new ConcurrentHashMap<>();

  private Executions() {}

  static Executions create() {
    return new Executions();
  }

  void recordStart(String key) {
    startsByKey.merge(key, 1, Integer::sum);
  }

  /** Returns the number of starts of the request with that key. */
  public int count(String key) {
    return startsByKey.getOrDefault(key, 0);
  }

  /** Returns the keys of all requests that were started. */
  public Set<String> keys() {
    return Set.copyOf(startsByKey.keySet());
  }

  /** Returns the keys that were started more than once, with their number of starts. */
  public Map<String, Integer> repeated() {
    Map<String, Integer> repeated = new TreeMap<>(startsByKey);
    repeated.values().removeIf(count -> count < 2);
    return repeated;
  }

  /** Returns the total number of starts. */
  public long total() {
    return startsByKey.values().stream().mapToLong(Integer::longValue).sum();
  }
}
