package org.sageladder.core.placing;

/**
 * One start of a target: what is believed of a target belongs to this, not to its id alone.
 *
 * <p>A target may start again under the id that it had. It then knows nothing of before: objects,
 * load, failures, connections and requests in flight there are those of the former start.
 *
 * <pre>{@code
 * TargetStart first = new TargetStart("t-1", 1_764_712_345_123L);
 * first.isBefore(new TargetStart("t-1", 1_764_712_399_000L)); // true
 * }</pre>
 *
 * @param id the target's id
 * @param startedAtMillis Unix time of the start in milliseconds, by the target's clock; 0 where the
 *     target does not say, so that the id alone tells starts apart
 */
public record TargetIncarnation(String id, long startedAtMillis) {
  /** True where both say when they started and {@code other} started later under the same id. */
  public boolean isBefore(TargetIncarnation other) {
    return id.equals(other.id)
        && startedAtMillis != 0
        && other.startedAtMillis != 0
        && startedAtMillis < other.startedAtMillis;
  }
}
