package org.sageladder.standin.target;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * How often each request was started, so that tests can prove that none ran twice.
 *
 * <p>Outlives a crash of the target: a repeat after a restart counts as the second run.
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

  /** Starts of the request with that key. */
  public int count(String key) {
    return startsByKey.getOrDefault(key, 0);
  }

  /** Keys of all requests that were started. */
  public Set<String> keys() {
    return Set.copyOf(startsByKey.keySet());
  }

  /** Keys started more than once, with the number of starts. */
  public Map<String, Integer> repeated() {
    Map<String, Integer> repeated = new TreeMap<>(startsByKey);
    repeated.values().removeIf(count -> count < 2);
    return repeated;
  }

  /** Starts of all requests together. */
  public long total() {
    return startsByKey.values().stream().mapToLong(Integer::longValue).sum();
  }
}
