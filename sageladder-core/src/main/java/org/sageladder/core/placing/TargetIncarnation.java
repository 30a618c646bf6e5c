package org.sageladder.core.placing;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * One incarnation of a target: what was learned about a target is valid for this only, not for its
 * id.
 *
 * <p>A target may be restarted under the same id. Its cached objects, load, failures, connections
 * and in-flight requests then belong to the previous incarnation.
 *
 * <pre>{@code
 * TargetIncarnation first = new TargetIncarnation("t-1", 1_764_712_345_123L);
 * first.isBefore(new TargetIncarnation("t-1", 1_764_712_399_000L)); // true
 * }</pre>
 *
 * @param id the target's id
 * @param startedAtMillis Unix time of the start in milliseconds, by the target's clock; 0 if the
 *     target does not report it, so that only the id distinguishes incarnations
 */
public record TargetIncarnation(String id, long startedAtMillis) {
  /**
   * Returns true if both start times are known and {@code other} started later under the same id.
   */
  public boolean isBefore(TargetIncarnation other) {
    return id.equals(other.id)
        && startedAtMillis != 0
        && other.startedAtMillis != 0
        && startedAtMillis < other.startedAtMillis;
  }

  /** Hash by which entry VMs name the incarnation to each other. */
  int shortHash() {
    return (int) Hashing.komihash5_0().hashCharsToLong(id + '\n' + startedAtMillis);
  }
}
