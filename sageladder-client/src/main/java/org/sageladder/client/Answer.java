package org.sageladder.client;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.sageladder.core.result.ResultCode;

/**
 * The outcome of a request.
 *
 * <pre>{@code
 * if (answer instanceof Answer.Complete complete) {
 *   show(complete.status(), complete.body());
 * } else if (answer instanceof Answer.NotRun notRun) {
 *   offerRetry(notRun.retryAfter());
 * } else if (answer instanceof Answer.Unknown unknown) {
 *   reportUnknownOutcome(unknown.detail());
 * }
 * }</pre>
 */
public sealed interface Answer {
  /** Number of attempts to send the request to an entry VM. */
  int attemptCount();

  /**
   * The target ran the request, and this is its complete response.
   *
   * @param status the target's HTTP status
   * @param headers header values by lower-case name
   * @param body complete body; empty if a sink received it
   * @param target name of the target, empty if the entry VM did not name it
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Complete(
      int status, Map<String, List<String>> headers, byte[] body, String target, int attemptCount)
      implements Answer {
    /** The first value of the header {@code name}, which is case-insensitive. */
    public Optional<String> header(String name) {
      List<String> values = headers.getOrDefault(name.toLowerCase(Locale.ROOT), List.of());
      return values.stream().findFirst();
    }
  }

  /** The target ran the request, but its response is no longer available. */
  record RanAnswerUnavailable(ResultCode code, String detail, int attemptCount) implements Answer {}

  /**
   * No target ran the request, and none will.
   *
   * @param retryAfter minimum wait before a new request may succeed; zero if it would fail the same
   *     way
   */
  record NotRun(ResultCode code, Duration retryAfter, String detail, int attemptCount)
      implements Answer {}

  /**
   * The request may have run.
   *
   * @param permit the permit to pass to {@link SageladderClient#resume}; empty if the request may
   *     repeat or never had a permit
   */
  record Unknown(ResultCode code, String permit, String detail, int attemptCount)
      implements Answer {}
}
