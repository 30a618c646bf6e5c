package org.sageladder.client;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.sageladder.core.result.ResultCode;

/**
 * How a request ended.
 *
 * <pre>{@code
 * if (answer instanceof Answer.Whole whole) {
 *   show(whole.status(), whole.body());
 * } else if (answer instanceof Answer.NotRun notRun) {
 *   offerToTryAgain(notRun.retryAfter());
 * } else if (answer instanceof Answer.Unknown unknown) {
 *   askAPerson(unknown.detail());
 * }
 * }</pre>
 */
public sealed interface Answer {
  /** Times the request was sent to an entry VM. */
  int attemptCount();

  /**
   * The target ran the request and this is its whole answer.
   *
   * @param status the target's HTTP status
   * @param headers headers by name in lower case
   * @param body whole body; empty where a sink took it
   * @param target name of the target, empty where the entry VM did not say
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Complete(
      int status, Map<String, List<String>> headers, byte[] body, String target, int attemptCount)
      implements Answer {
    /** The first value of the header {@code name}, in any case. */
    public Optional<String> header(String name) {
      List<String> values = headers.getOrDefault(name.toLowerCase(Locale.ROOT), List.of());
      return values.stream().findFirst();
    }
  }

  /** The target ran the request, and its answer can no longer be had. */
  record RanAnswerUnavailable(ResultCode code, String detail, int attemptCount) implements Answer {}

  /**
   * No target ran the request and none will.
   *
   * @param retryAfter when a new try is worth making; zero where it would fail the same way
   */
  record NotRun(ResultCode code, Duration retryAfter, String detail, int attemptCount)
      implements Answer {}

  /**
   * The request may have run.
   *
   * @param permit the permit to pass to {@link SageladderClient#resume}, empty where the request
   *     may repeat or was never given one
   */
  record Unknown(ResultCode code, String permit, String detail, int attemptCount)
      implements Answer {}
}
