package org.sageladder.forward.control;

/**
 * How a call of the store ended.
 *
 * @param <T> what it returns
 */
public sealed interface StoreResult<T> {
  /** It was done. */
  record Done<T>(T value) implements StoreResult<T> {}

  /** What it asked for is not there any more: history, a lease, or the expected revision. */
  record Gone<T>() implements StoreResult<T> {}

  /** No answer, or a refusal; a change may have been made all the same. */
  record Failed<T>(String cause) implements StoreResult<T> {}
}
