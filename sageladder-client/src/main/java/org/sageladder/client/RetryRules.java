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
final class RetryRules {
  /** Not-run results that another entry VM or a later try may change. */
  private static final Set<ResultCode> PASSING =
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

  private static final Duration RUNNING_PAUSE = Duration.ofMillis(100);

  private String permit;
  private boolean needsPermit;
  private boolean mayHaveRun;
  private int tries;

  private RetryRules(boolean needsPermit, String permit, boolean mayHaveRun) {
    this.needsPermit = needsPermit;
    this.permit = permit;
    this.mayHaveRun = mayHaveRun;
  }

  /** Rules for a new request; {@code permit} is empty where none has come with the look-up. */
  static RetryRules begin(boolean needsPermit, String permit) {
    return new RetryRules(needsPermit, permit, false);
  }

  /** Rules for a request that was sent under {@code permit} before, with unknown outcome. */
  static RetryRules resume(String permit) {
    return new RetryRules(true, permit, true);
  }

  /** True where a later try, or one elsewhere, may get past that refusal. */
  static boolean passes(ResultCode refusal) {
    return PASSING.contains(refusal);
  }

  /** What to do next. */
  sealed interface Step {
    /** Nothing more to send. */
    record End(Answer answer) implements Step {}

    /**
     * Send again after {@code pause}, under the same permit if there is one.
     *
     * @param uncounted true where sending again is no retry of work: the last try reached nobody,
     *     or the permit has been used, so that sending it again only asks what became of it
     */
    record Again(Duration pause, boolean uncounted, Answer ifNoTimeIsLeft) implements Step {
      /**
       * True where one entry VM had no room, so that another may have. What runs or may have run is
       * known at its permit's home alone; asked elsewhere at once, the same home would answer.
       */
      boolean isRefusal() {
        return ifNoTimeIsLeft instanceof Answer.NotRun;
      }
    }

    /** Get a new permit, then send; the old one is known not to have run. */
    record Renew(Duration pause, Answer ifNoTimeIsLeft) implements Step {}
  }

  /** The permit to send with, or empty. */
  String permit() {
    return permit;
  }

  /** True where a permit has to be had before the next try. */
  boolean lacksPermit() {
    return needsPermit && permit.isEmpty();
  }

  /** Takes a permit for the next try; only after {@link Step.Renew} or at the start. */
  void renewed(String fresh) {
    if (mayHaveRun) {
      throw new IllegalStateException("a new permit while the old one may have run");
    }
    permit = fresh;
    needsPermit = needsPermit || !fresh.isEmpty();
  }

  /** Decides after a try. */
  Step after(TryResult result) {
    tries++;
    if (result instanceof TryResult.Whole whole) {
      return new Step.End(
          new Answer.Whole(whole.status(), whole.headers(), whole.body(), whole.target(), tries));
    }
    if (result instanceof TryResult.Said said) {
      return said(said);
    }
    if (result instanceof TryResult.NotSent notSent) {
      return new Step.Again(Duration.ZERO, true, unsent(notSent.detail()));
    }
    mayHaveRun = true;
    return new Step.Again(
        Duration.ZERO,
        asksOnly(),
        unknown(ResultCode.OUTCOME_UNKNOWN, ((TryResult.Lost) result).detail()));
  }

  private boolean asksOnly() {
    return mayHaveRun && needsPermit;
  }

  private Answer unsent(String detail) {
    return mayHaveRun
        ? unknown(ResultCode.OUTCOME_UNKNOWN, detail)
        : new Answer.NotRun(ResultCode.NO_TARGET, Duration.ofSeconds(1), detail, tries);
  }

  private Step said(TryResult.Said said) {
    if (said.code() == ResultCode.PERMIT_REQUIRED) {
      return permitRequired(said);
    }
    if (said.code() == ResultCode.PERMIT_EXPIRED && !mayHaveRun) {
      permit = "";
      return new Step.Renew(Duration.ZERO, notRun(said));
    }
    return switch (said.code().outcome()) {
      case RAN -> new Step.End(new Answer.RanUnseen(said.code(), said.detail(), tries));
      case NOT_RUN -> refused(said);
      case UNKNOWN -> unresolved(said);
    };
  }

  /** To a request that carried a permit this is its home's word that the permit ended unused. */
  private Step permitRequired(TryResult.Said said) {
    if (!permit.isEmpty()) {
      mayHaveRun = false;
    }
    if (mayHaveRun) {
      return new Step.End(unknown(ResultCode.OUTCOME_UNKNOWN, "sent before it needed a permit"));
    }
    needsPermit = true;
    permit = said.freshPermit();
    return new Step.Renew(Duration.ZERO, notRun(said));
  }

  private Step refused(TryResult.Said said) {
    if (!PASSING.contains(said.code())) {
      return new Step.End(mayHaveRun ? unknown(said.code(), said.detail()) : notRun(said));
    }
    if (mayHaveRun) {
      return new Step.Again(said.retryAfter(), asksOnly(), unknown(said.code(), said.detail()));
    }
    if (!needsPermit) {
      return new Step.Again(said.retryAfter(), asksOnly(), notRun(said));
    }
    permit = "";
    return new Step.Renew(said.retryAfter(), notRun(said));
  }

  private Step unresolved(TryResult.Said said) {
    mayHaveRun = true;
    Answer answer = unknown(said.code(), said.detail());
    if (said.code() == ResultCode.PERMIT_EXPIRED) {
      return new Step.End(answer);
    }
    Duration pause =
        said.code() == ResultCode.PERMIT_RUNNING && said.retryAfter().isZero()
            ? RUNNING_PAUSE
            : said.retryAfter();
    if (needsPermit && said.code() == ResultCode.OUTCOME_UNKNOWN) {
      return new Step.End(answer);
    }
    return new Step.Again(pause, asksOnly(), answer);
  }

  private Answer notRun(TryResult.Said said) {
    return new Answer.NotRun(said.code(), said.retryAfter(), said.detail(), tries);
  }

  private Answer unknown(ResultCode code, String detail) {
    ResultCode told = code.outcome() == Outcome.UNKNOWN ? code : ResultCode.OUTCOME_UNKNOWN;
    String why = told == code ? detail : code + ": " + detail;
    return new Answer.Unknown(told, permit, why, tries);
  }
}
