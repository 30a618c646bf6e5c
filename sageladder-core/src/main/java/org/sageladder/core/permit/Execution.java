package org.sageladder.core.permit;

/**
 * The single execution that a permit allows. The first outcome recorded counts.
 *
 * <p>The owner must record an outcome on every path: an execution left open answers "running" until
 * the permit expires.
 */
public interface Execution {
  /** The permit being executed. */
  Permit permit();

  /**
   * Records that the target ran the request and answered. Accepted also after {@link
   * #recordUnknown}, since a late answer is still the true one.
   *
   * @return false if the execution had ended in another way and the answer was not recorded
   */
  boolean recordAnswer(RecordedAnswer answer);

  /**
   * Records that no target ran the request. Closes the permit for good, so that a copy still in
   * transit cannot run after the caller was answered "not run".
   *
   * @return false if the execution had already ended
   */
  boolean recordNotRun();

  /**
   * Records that the request may have run.
   *
   * @return false if the execution had already ended
   */
  boolean recordUnknown();
}
