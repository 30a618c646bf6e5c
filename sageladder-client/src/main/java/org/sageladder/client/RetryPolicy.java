package org.sageladder.client;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import org.sageladder.core.result.Outcome;
import org.sageladder.core.result.ResultCode;

/**
 * Decides after each try whether to send again, with what permit, or to end.
 *
 * <p>Failure guarded against: a request that must not repeat is sent under two permits and runs
 * twice. It would show as a doubled bid. After a try whose outcome is not known this class only
 * ever sends the same permit again; a new permit is asked for only where every earlier try under
 * the old one is known not to have run, or where the old one's home says that it ended unused.
 *
 * <p>One instance belongs to one request and one thread.
 */
final class RetryPolicy {
  /** Not-run results that another entry VM or a later try may change. */
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

  /** Rules for a new request; {@code permit} is empty where none has come with the look-up. */
  static RetryPolicy begin(boolean needsPermit, String permit) {
    return new RetryPolicy(needsPermit, permit, false);
  }

  /** Rules for a request that was sent under {@code permit} before, with unknown outcome. */
  static RetryPolicy resume(String permit) {
    return new RetryPolicy(true, permit, true);
  }

  /** True where a later try, or one elsewhere, may get past that refusal. */
  static boolean isRetryable(ResultCode refusal) {
    return RETRYABLE.contains(refusal);
  }

  /** What to do next. */
  sealed interface Step {
    /** Nothing more to send. */
    record End(Answer answer) implements Step {}

    /**
     * Send again after {@code pause}, under the same permit if there is one.
     *
     * @param isUncounted true where sending again is no retry of work: the last try reached nobody,
     *     or the permit has been used, so that sending it again only asks what became of it
     */
    record Resend(Duration pause, boolean isUncounted, Answer answerIfExhausted) implements Step {
      /**
       * True where one entry VM had no room, so that another may have. What runs or may have run is
       * known at its permit's home alone; asked elsewhere at once, the same home would answer.
       */
      boolean isRefusal() {
        return answerIfExhausted instanceof Answer.NotRun;
      }
    }

    /** Get a new permit, then send; the old one is known not to have run. */
    record RenewPermit(Duration pause, Answer answerIfExhausted) implements Step {}
  }

  /** The permit to send with, or empty. */
  String permit() {
    return permit;
  }

  /** True where a permit has to be had before the next try. */
  boolean lacksPermit() {
    return needsPermit && permit.isEmpty();
  }

  /** Takes a permit for the next try; only after {@link Step.RenewPermit} or at the start. */
  void usePermit(String newPermit) {
    if (mayHaveRun) {
      throw new IllegalStateException("a new permit while the old one may have run");
    }
    permit = newPermit;
    needsPermit = needsPermit || !newPermit.isEmpty();
  }

  /** Decides after a try. */
  Step onResult(AttemptResult result) {
    attemptCount++;
    if (result instanceof AttemptResult.Complete whole) {
      return new Step.End(
          new Answer.Complete(
              whole.status(), whole.headers(), whole.body(), whole.target(), attemptCount));
    }
    if (result instanceof AttemptResult.EntryVmResult said) {
      return onEntryVmResult(said);
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

  private Step onEntryVmResult(AttemptResult.EntryVmResult said) {
    if (said.code() == ResultCode.PERMIT_REQUIRED) {
      return onPermitRequired(said);
    }
    if (said.code() == ResultCode.PERMIT_EXPIRED && !mayHaveRun) {
      permit = "";
      return new Step.RenewPermit(Duration.ZERO, notRunAnswer(said));
    }
    return switch (said.code().outcome()) {
      case RAN ->
          new Step.End(new Answer.RanAnswerUnavailable(said.code(), said.detail(), attemptCount));
      case NOT_RUN -> onRefusal(said);
      case UNKNOWN -> onUnknownOutcome(said);
    };
  }

  /** To a request that carried a permit this is its home's word that the permit ended unused. */
  private Step onPermitRequired(AttemptResult.EntryVmResult said) {
    if (!permit.isEmpty()) {
      mayHaveRun = false;
    }
    if (mayHaveRun) {
      return new Step.End(
          unknownAnswer(ResultCode.OUTCOME_UNKNOWN, "sent before it needed a permit"));
    }
    needsPermit = true;
    permit = said.newPermit();
    return new Step.RenewPermit(Duration.ZERO, notRunAnswer(said));
  }

  private Step onRefusal(AttemptResult.EntryVmResult said) {
    if (!RETRYABLE.contains(said.code())) {
      return new Step.End(
          mayHaveRun ? unknownAnswer(said.code(), said.detail()) : notRunAnswer(said));
    }
    if (mayHaveRun) {
      return new Step.Resend(
          said.retryAfter(), onlyQueriesPermit(), unknownAnswer(said.code(), said.detail()));
    }
    if (!needsPermit) {
      return new Step.Resend(said.retryAfter(), onlyQueriesPermit(), notRunAnswer(said));
    }
    permit = "";
    return new Step.RenewPermit(said.retryAfter(), notRunAnswer(said));
  }

  private Step onUnknownOutcome(AttemptResult.EntryVmResult said) {
    mayHaveRun = true;
    Answer answer = unknownAnswer(said.code(), said.detail());
    if (said.code() == ResultCode.PERMIT_EXPIRED) {
      return new Step.End(answer);
    }
    Duration pause =
        said.code() == ResultCode.PERMIT_RUNNING && said.retryAfter().isZero()
            ? RUNNING_POLL_INTERVAL
            : said.retryAfter();
    if (needsPermit && said.code() == ResultCode.OUTCOME_UNKNOWN) {
      return new Step.End(answer);
    }
    return new Step.Resend(pause, onlyQueriesPermit(), answer);
  }

  private Answer notRunAnswer(AttemptResult.EntryVmResult said) {
    return new Answer.NotRun(said.code(), said.retryAfter(), said.detail(), attemptCount);
  }

  private Answer unknownAnswer(ResultCode code, String detail) {
    ResultCode told = code.outcome() == Outcome.UNKNOWN ? code : ResultCode.OUTCOME_UNKNOWN;
    String why = told == code ? detail : code + ": " + detail;
    return new Answer.Unknown(told, permit, why, attemptCount);
  }
}
