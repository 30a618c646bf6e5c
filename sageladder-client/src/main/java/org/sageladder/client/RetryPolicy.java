package org.sageladder.client;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import org.sageladder.core.result.Outcome;
import org.sageladder.core.result.ResultCode;

/**
 * Decides after each attempt whether to resend, under which permit, or to end.
 *
 * <p>A request that must not repeat could run twice if it were sent under two permits; for
 * instance, a bid would be placed twice. After an attempt whose outcome is unknown, this class
 * therefore only resends under the same permit. It asks for a new permit only if every earlier
 * attempt under the old one is known not to have run, or if the issuer of the old one reports that
 * it ended unused.
 *
 * <p>Not thread-safe; one instance serves one request.
 */
final class RetryPolicy {
  /** Results of requests that did not run but may succeed at another entry VM or later. */
  private static final Set<ResultCode> RETRYABLE =
      EnumSet.of(
          ResultCode.QUEUE_FULL,
          ResultCode.QUEUE_DEADLINE,
          ResultCode.SHIFT_CAP,
          ResultCode.NO_TARGET,
          ResultCode.TARGET_REFUSED,
          ResultCode.BACKGROUND_SHED,
          ResultCode.LINK_LIMIT,
          ResultCode.NO_CONTRACT_IN_FORCE,
          ResultCode.STOPPING,
          ResultCode.GATE_MOVED);

  private static final Duration RUNNING_POLL_INTERVAL = Duration.ofMillis(100);

  private String permit;
  private boolean needsPermit;
  private boolean mayHaveRun;
  private int attemptCount;

  private RetryPolicy(boolean needsPermit, String permit, boolean mayHaveRun) {
    this.needsPermit = needsPermit;
    this.permit = permit;
    this.mayHaveRun = mayHaveRun;
  }

  /** Creates the policy for a new request; {@code permit} is empty if the look-up returned none. */
  static RetryPolicy begin(boolean needsPermit, String permit) {
    return new RetryPolicy(needsPermit, permit, false);
  }

  /** Creates the policy for a request that was sent under {@code permit} with unknown outcome. */
  static RetryPolicy resume(String permit) {
    return new RetryPolicy(true, permit, true);
  }

  /** Returns true if an attempt may succeed later, or at another entry VM, despite that refusal. */
  static boolean isRetryable(ResultCode refusal) {
    return RETRYABLE.contains(refusal);
  }

  /** The next step of a request. */
  sealed interface Step {
    /** Return {@code answer} to the caller. */
    record End(Answer answer) implements Step {}

    /**
     * Resend after {@code pause}, under the same permit if there is one.
     *
     * @param isUncounted true if resending is not a retry of work: the last attempt reached no
     *     entry VM, or the permit has been used, so that resending only queries its outcome
     * @param answerIfExhausted the answer to return if no time or retry budget is left
     */
    record Resend(Duration pause, boolean isUncounted, Answer answerIfExhausted) implements Step {
      /**
       * Returns true if the entry VM refused the request, so that another one may admit it. The
       * outcome of a request that runs or may have run is known only to the issuer of its permit; a
       * query at another entry VM would be forwarded to that same issuer.
       */
      boolean isRefusal() {
        return answerIfExhausted instanceof Answer.NotRun;
      }
    }

    /** Get a new permit, then resend; nothing has run under the old one. */
    record RenewPermit(Duration pause, Answer answerIfExhausted) implements Step {}
  }

  /** The permit to send the next attempt under, or empty. */
  String permit() {
    return permit;
  }

  /** Returns true if a permit is needed before the next attempt. */
  boolean lacksPermit() {
    return needsPermit && permit.isEmpty();
  }

  /**
   * Sets the permit for the next attempt; only allowed after {@link Step.RenewPermit} or at the
   * start.
   */
  void usePermit(String newPermit) {
    if (mayHaveRun) {
      throw new IllegalStateException(
          "cannot replace a permit under which the request may have run");
    }
    permit = newPermit;
    needsPermit = needsPermit || !newPermit.isEmpty();
  }

  /** Records the result of an attempt and returns the next step. */
  Step onResult(AttemptResult result) {
    attemptCount++;
    if (result instanceof AttemptResult.Complete complete) {
      return new Step.End(
          new Answer.Complete(
              complete.status(),
              complete.headers(),
              complete.body(),
              complete.target(),
              attemptCount));
    }
    if (result instanceof AttemptResult.EntryVmResult entryVmResult) {
      return onEntryVmResult(entryVmResult);
    }
    if (result instanceof AttemptResult.NotSent notSent) {
      return new Step.Resend(Duration.ZERO, true, notSentAnswer(notSent.detail()));
    }
    mayHaveRun = true;
    return new Step.Resend(
        Duration.ZERO,
        onlyQueriesPermit(),
        unknownAnswer(ResultCode.OUTCOME_UNKNOWN, ((AttemptResult.Lost) result).detail()));
  }

  private boolean onlyQueriesPermit() {
    return mayHaveRun && needsPermit;
  }

  private Answer notSentAnswer(String detail) {
    return mayHaveRun
        ? unknownAnswer(ResultCode.OUTCOME_UNKNOWN, detail)
        : new Answer.NotRun(ResultCode.NO_TARGET, Duration.ofSeconds(1), detail, attemptCount);
  }

  private Step onEntryVmResult(AttemptResult.EntryVmResult result) {
    if (result.code() == ResultCode.PERMIT_REQUIRED) {
      return onPermitRequired(result);
    }
    if (result.code() == ResultCode.PERMIT_EXPIRED && !mayHaveRun) {
      permit = "";
      return new Step.RenewPermit(Duration.ZERO, notRunAnswer(result));
    }
    return switch (result.code().outcome()) {
      case RAN ->
          new Step.End(
              new Answer.RanAnswerUnavailable(result.code(), result.detail(), attemptCount));
      case NOT_RUN -> onRefusal(result);
      case UNKNOWN -> onUnknownOutcome(result);
    };
  }

  /**
   * If the request was sent under a permit, this result is its issuer's statement that the permit
   * ended unused.
   */
  private Step onPermitRequired(AttemptResult.EntryVmResult result) {
    if (!permit.isEmpty()) {
      mayHaveRun = false;
    }
    if (mayHaveRun) {
      return new Step.End(
          unknownAnswer(ResultCode.OUTCOME_UNKNOWN, "sent before a permit was required"));
    }
    needsPermit = true;
    permit = result.newPermit();
    return new Step.RenewPermit(Duration.ZERO, notRunAnswer(result));
  }

  private Step onRefusal(AttemptResult.EntryVmResult result) {
    if (!RETRYABLE.contains(result.code())) {
      return new Step.End(
          mayHaveRun ? unknownAnswer(result.code(), result.detail()) : notRunAnswer(result));
    }
    if (mayHaveRun) {
      return new Step.Resend(
          result.retryAfter(), onlyQueriesPermit(), unknownAnswer(result.code(), result.detail()));
    }
    if (!needsPermit) {
      return new Step.Resend(result.retryAfter(), onlyQueriesPermit(), notRunAnswer(result));
    }
    permit = "";
    return new Step.RenewPermit(result.retryAfter(), notRunAnswer(result));
  }

  private Step onUnknownOutcome(AttemptResult.EntryVmResult result) {
    mayHaveRun = true;
    Answer answer = unknownAnswer(result.code(), result.detail());
    if (result.code() == ResultCode.PERMIT_EXPIRED) {
      return new Step.End(answer);
    }
    Duration pause =
        result.code() == ResultCode.PERMIT_RUNNING && result.retryAfter().isZero()
            ? RUNNING_POLL_INTERVAL
            : result.retryAfter();
    if (needsPermit && result.code() == ResultCode.OUTCOME_UNKNOWN) {
      return new Step.End(answer);
    }
    return new Step.Resend(pause, onlyQueriesPermit(), answer);
  }

  private Answer notRunAnswer(AttemptResult.EntryVmResult result) {
    return new Answer.NotRun(result.code(), result.retryAfter(), result.detail(), attemptCount);
  }

  private Answer unknownAnswer(ResultCode code, String detail) {
    ResultCode reportedCode = code.outcome() == Outcome.UNKNOWN ? code : ResultCode.OUTCOME_UNKNOWN;
    String reportedDetail = reportedCode == code ? detail : code + ": " + detail;
    return new Answer.Unknown(reportedCode, permit, reportedDetail, attemptCount);
  }
}
