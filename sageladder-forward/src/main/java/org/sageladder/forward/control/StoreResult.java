package org.sageladder.forward.control;

/**
 * Result of a call to the store.
 *
 * @param <T> type of the returned value
 */
public sealed interface StoreResult<T> {
  /** The call succeeded. */
  record Done<T>(T value) implements StoreResult<T> {}

  /** What the call refers to no longer exists: history, a lease, or the expected revision. */
  record Gone<T>() implements StoreResult<T> {}

  /** No response or a refusal; a change may have been made nevertheless. */
  record Failed<T>(String cause) implements StoreResult<T> {}
}
