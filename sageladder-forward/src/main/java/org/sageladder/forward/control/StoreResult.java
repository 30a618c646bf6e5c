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

  /**
   * No usable response; a change may have been made nevertheless.
   *
   * @param isUnreadable true if the store responded, but its response is too large or cannot be
   *     decoded, so that the same call is likely to fail again
   */
  record Failed<T>(String cause, boolean isUnreadable) implements StoreResult<T> {
    /** No response, or a refusal. */
    public Failed(String cause) {
      this(cause, false);
    }
  }
}
