package org.sageladder.core.steering;

import org.jspecify.annotations.Nullable;

/**
 * Inputs of steering other than the cluster state.
 *
 * @param nowMillis wall clock of this process, milliseconds since the Unix epoch
 * @param ttlMillis how long callers may keep an answer, in milliseconds
 * @param previous table in force until now, so that weights change in small steps; null at start
 */
public record SteeringInputs(long nowMillis, int ttlMillis, @Nullable LookUpTable previous) {
  /** Default time for which callers may keep an answer, in milliseconds. */
  public static final int DEFAULT_TTL_MILLIS = 2_000;

  /** Inputs of a process that has no table yet. */
  public static SteeringInputs at(long nowMillis) {
    return new SteeringInputs(nowMillis, DEFAULT_TTL_MILLIS, null);
  }

  /** Inputs for the table that replaces {@code table}. */
  public static SteeringInputs after(LookUpTable table, long nowMillis) {
    return new SteeringInputs(nowMillis, DEFAULT_TTL_MILLIS, table);
  }
}
