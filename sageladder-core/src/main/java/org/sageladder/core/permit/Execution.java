package org.sageladder.core.permit;

/**
 * The one run of a permit; the first of its three ends counts.
 *
 * <p>Whoever holds it must end it on every path: an execution left open answers "running" until the
 * permit expires.
 */
public interface Execution {
  /** The permit being run. */
  Permit permit();

  /**
   * The target ran the request and answered. May follow {@link #recordUnknown}: an answer that came
   * late is still the true one.
   *
   * @return false where the execution had ended in another way and the answer was not recorded
   */
  boolean recordAnswer(RecordedAnswer answer);

  /**
   * No target ran the request. Closes the permit for good, so that a copy of the request that is
   * still on its way cannot run after the caller was told "not run".
   *
   * @return false where the execution had already ended
   */
  boolean recordNotRun();

  /**
   * The request may have run.
   *
   * @return false where the execution had already ended
   */
  boolean recordUnknown();
}
