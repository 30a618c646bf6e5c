package org.sageladder.entry.request;

import java.util.List;

/** Names of the HTTP headers between callers, entry VMs and targets. */
public final class Headers {
  /** Time in milliseconds from sending by which the caller wants the complete response. */
  public static final String DEADLINE = "Sageladder-Deadline-Millis";

  /**
   * Time in milliseconds after which the caller abandons this attempt and tries another entry VM;
   * optional.
   */
  public static final String ATTEMPT_TIMEOUT = "Sageladder-Try-Millis";

  /** A sealed permit; on a response, a new one to send the request with. */
  public static final String PERMIT = "Sageladder-Permit";

  /** The caller's idempotency key for a request that must not run twice. */
  public static final String IDEMPOTENCY_KEY = "Sageladder-Idempotency-Key";

  /** The caller's request id, which logs and the time line repeat. */
  public static final String REQUEST_ID = "Sageladder-Request-Id";

  /** The caller's client block, which determines the link that the request came over. */
  public static final String BLOCK = "Sageladder-Block";

  /** The entry VM that forwarded the request; a forwarded request is not forwarded again. */
  public static final String FORWARDED_BY = "Sageladder-Forwarded-By";

  /**
   * Between entry VMs: a sealed token that authorizes what the message asks for, such as running
   * this copy of a request.
   */
  public static final String DISPATCH_TOKEN = "Sageladder-Dispatch";

  /** Number and name of the result. */
  public static final String RESULT = "Sageladder-Result";

  /** {@code ran}, {@code not-run} or {@code unknown}. */
  public static final String OUTCOME = "Sageladder-Outcome";

  /** Time in milliseconds after which a retry is worthwhile. */
  public static final String RETRY_AFTER = "Sageladder-Retry-After-Millis";

  /** The target that sent the response. */
  public static final String TARGET = "Sageladder-Target";

  /** Why a target refused the request without running it: shedding, draining or starting. */
  public static final String TARGET_REFUSED = "Target-Refused";

  /** Request id, as targets expect it. */
  public static final String TARGET_REQUEST_ID = "Request-Id";

  /** Remaining time in milliseconds, as targets expect it. */
  public static final String TARGET_DEADLINE = "Deadline-Millis";

  static final List<String> LENGTH_LIMITED =
      List.of(PERMIT, IDEMPOTENCY_KEY, REQUEST_ID, FORWARDED_BY, DISPATCH_TOKEN);

  private Headers() {}
}
