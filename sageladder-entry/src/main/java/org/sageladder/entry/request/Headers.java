package org.sageladder.entry.request;

import java.util.List;

/** Names of the HTTP headers between callers, entry VMs and targets. */
public final class Headers {
  /** Milliseconds, from the moment of sending, by which the caller wants the whole answer. */
  public static final String DEADLINE = "Sageladder-Deadline-Millis";

  /** Milliseconds after which the caller leaves this entry VM and tries another; optional. */
  public static final String ATTEMPT_TIMEOUT = "Sageladder-Try-Millis";

  /** A sealed permit; on an answer, a fresh one to send the request with. */
  public static final String PERMIT = "Sageladder-Permit";

  /** A caller's own key for a request that must not repeat. */
  public static final String IDEMPOTENCY_KEY = "Sageladder-Idempotency-Key";

  /** The caller's id of the request, repeated in logs and on the time line. */
  public static final String REQUEST_ID = "Sageladder-Request-Id";

  /** Block of clients that the caller belongs to; tells which link the request came over. */
  public static final String BLOCK = "Sageladder-Block";

  /** The entry VM that passed the request on; such a request is not passed on again. */
  public static final String FORWARDED_BY = "Sageladder-Forwarded-By";

  /** Between entry VMs: the sealed word of a permit's home that this copy may be run. */
  public static final String DISPATCH_TOKEN = "Sageladder-Dispatch";

  /** Number and name of the result. */
  public static final String RESULT = "Sageladder-Result";

  /** {@code ran}, {@code not-run} or {@code unknown}. */
  public static final String OUTCOME = "Sageladder-Outcome";

  /** When a new try is worth making. */
  public static final String RETRY_AFTER = "Sageladder-Retry-After-Millis";

  /** The target that gave the answer. */
  public static final String TARGET = "Sageladder-Target";

  /** What a target says when it refuses before running: shedding, draining or starting. */
  public static final String TARGET_REFUSED = "Target-Refused";

  /** Request id as targets know it. */
  public static final String TARGET_REQUEST_ID = "Request-Id";

  /** Remaining milliseconds as targets know them. */
  public static final String TARGET_DEADLINE = "Deadline-Millis";

  static final List<String> LENGTH_LIMITED =
      List.of(PERMIT, IDEMPOTENCY_KEY, REQUEST_ID, FORWARDED_BY, DISPATCH_TOKEN);

  private Headers() {}
}
