package org.sageladder.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.sageladder.core.quota.QuotaMessage.TokenGrant;
import org.sageladder.core.quota.QuotaMessage.UsageReport;
import org.sageladder.core.routing.Quota;

/**
 * One workspace at one entry VM: what it let run, its tokens, and the requests that wait for some.
 *
 * <p>Requests are let run and reported. Once the coordinator announces that the quota is near, each
 * needs a token. A VM that reaches no coordinator lets run a part of what it did before.
 */
final class WorkspaceMeter {
  /** How long a coordinator's notice that tokens are needed holds; it is repeated each second. */
  private static final long NOTICE_VALIDITY_MILLIS = 3_000;

  /** Tokens not used in this time are given back: another VM may need them. */
  private static final long TOKEN_LIFETIME_MILLIS = 1_000;

  /** Tokens asked for beyond the requests that wait cover the requests of this time. */
  private static final long PREFETCH_MILLIS = 200;

  /** While tokens are needed, VMs that let requests run report at least this often. */
  private static final long KEEP_ALIVE_MILLIS = 1_000;

  /** Reports are put together for this long while requests need no tokens. */
  private static final long REPORT_BATCH_MILLIS = 400;

  /** Longest time for which a refusal is repeated without asking again. */
  private static final long MAX_CACHED_REFUSAL_MILLIS = 200;

  /**
   * Part of what it let run in a window that a VM without coordinator goes on letting run. The
   * others take up what it leaves, so that both together have to stay within the tolerance.
   */
  private static final double ISOLATED_FRACTION = 0.5;

  /** A request waits for the coordinator's answer no longer than this. */
  private static final long MAX_WAIT_MILLIS = 500;

  private record Waiter(long sinceMillis, Consumer<QuotaDecision> onDecision) {}

  private final String workspace;
  private final QuotaTolerance tolerance;
  private final SlidingWindowCounter admittedInWindow;
  private final Deque<Waiter> waiting = new ArrayDeque<>();
  private long tokensRequiredUntilMillis = Long.MIN_VALUE;
  private long cachedRefusalUntilMillis = Long.MIN_VALUE;
  private long cachedRetryAfterMillis;
  private int totalAdmitted;
  private int lastReportedCount;
  private int tokens;
  private long tokensExpireMillis;
  private int lastReportNumber;
  private boolean hasUnreported;
  private boolean awaitingAnswer;
  private long lastReportMillis = Long.MIN_VALUE / 2;
  private boolean isolated;
  private int isolatedAllowance;

  WorkspaceMeter(String workspace, QuotaTolerance bounds) {
    this.workspace = workspace;
    this.tolerance = bounds;
    this.admittedInWindow = new SlidingWindowCounter(bounds.windowMillis());
  }

  /** Decides at once where that can be done; {@link QuotaDecision.Pending} where it cannot. */
  QuotaDecision admit(Quota quota, long now) {
    expireTokens(now);
    if (isolated) {
      return admittedInWindow.count(now) < isolatedAllowance
          ? grant(now)
          : refusedWhileIsolated(quota);
    }
    if (!requiresTokens(now)) {
      return grant(now);
    }
    if (tokens > 0 && waiting.isEmpty()) {
      tokens--;
      return grant(now);
    }
    if (now < cachedRefusalUntilMillis) {
      return refused(cachedRetryAfterMillis, now);
    }
    return new QuotaDecision.Pending();
  }

  private boolean requiresTokens(long now) {
    return now < tokensRequiredUntilMillis || tolerance.isExact();
  }

  private QuotaDecision grant(long now) {
    adjustCount(1, now);
    return new QuotaDecision.Granted();
  }

  private QuotaDecision refused(long retryMillis, long now) {
    return new QuotaDecision.Refused(
        retryMillis, admittedInWindow.count(now) + " here in the window, no tokens left");
  }

  private QuotaDecision refusedWhileIsolated(Quota quota) {
    long retry = (long) Math.ceil(1_000 / Math.max(1, quota.ratePerSecond()));
    return new QuotaDecision.Refused(
        retry, isolatedAllowance + " in the window while no coordinator answers");
  }

  /** Keeps a request whose decision is pending. */
  void enqueue(Consumer<QuotaDecision> then, long now) {
    waiting.addLast(new Waiter(now, then));
  }

  /** A request was sent once more, or will not run after all. */
  void adjustCount(int requests, long now) {
    admittedInWindow.add(requests, now);
    totalAdmitted += requests;
    hasUnreported = true;
  }

  /** True where a report is due now. */
  boolean isReportDue(long now) {
    if (awaitingAnswer) {
      return false;
    }
    if (isKeepAliveDue(now)) {
      return true;
    }
    boolean asks = !waiting.isEmpty();
    boolean gathered =
        now - lastReportMillis >= (requiresTokens(now) ? PREFETCH_MILLIS : REPORT_BATCH_MILLIS);
    return asks || (hasUnreported && gathered);
  }

  private boolean isKeepAliveDue(long now) {
    return requiresTokens(now)
        && lastReportedCount > 0
        && now - lastReportMillis >= KEEP_ALIVE_MILLIS;
  }

  /** True where it has to be looked at again soon. */
  boolean isActive(long now) {
    boolean open = hasUnreported || awaitingAnswer || tokens > 0 || !waiting.isEmpty();
    return open || (requiresTokens(now) && lastReportedCount > 0);
  }

  /** Since when a report is unanswered; -1 where none is. */
  long awaitingAnswerSince() {
    return awaitingAnswer ? lastReportMillis : -1;
  }

  /** The report that is due. */
  UsageReport createReport(long now) {
    expireTokens(now);
    lastReportNumber = lastReportNumber == Integer.MAX_VALUE ? 1 : lastReportNumber + 1;
    hasUnreported = false;
    awaitingAnswer = true;
    lastReportMillis = now;
    int recent = admittedInWindow.count(now);
    lastReportedCount = recent;
    return new UsageReport(
        workspace, lastReportNumber, totalAdmitted, recent, wantedTokens(recent, now), tokens);
  }

  private int wantedTokens(int recent, long now) {
    if (!requiresTokens(now)) {
      return waiting.size();
    }
    int ahead = (int) (recent * PREFETCH_MILLIS / tolerance.windowMillis());
    return Math.max(0, waiting.size() + ahead - tokens);
  }

  /**
   * Takes the answer to the last report, or a notice.
   *
   * @param mayLift true where the coordinator is the workspace's first; one that has just taken
   *     over does not have the reports of all VMs yet
   */
  void applyGrant(TokenGrant grant, boolean mayLift, long now) {
    if (grant.reportNumber() == TokenGrant.NOTICE) {
      tokensRequiredUntilMillis = now + NOTICE_VALIDITY_MILLIS;
      return;
    }
    if (!awaitingAnswer || grant.reportNumber() != lastReportNumber) {
      return;
    }
    awaitingAnswer = false;
    isolated = false;
    if (grant.tokensRequired()) {
      tokensRequiredUntilMillis = now + NOTICE_VALIDITY_MILLIS;
    } else if (mayLift) {
      tokensRequiredUntilMillis = now;
    }
    tokens += grant.tokens();
    tokensExpireMillis = now + TOKEN_LIFETIME_MILLIS;
    if (grant.retryAfterMillis() > 0) {
      cachedRetryAfterMillis = grant.retryAfterMillis();
      cachedRefusalUntilMillis =
          now + Math.min(MAX_CACHED_REFUSAL_MILLIS, grant.retryAfterMillis());
    }
    decideWaiting(grant, now);
  }

  private void decideWaiting(TokenGrant grant, long now) {
    while (!waiting.isEmpty()) {
      Consumer<QuotaDecision> then = waiting.removeFirst().onDecision();
      if (!requiresTokens(now)) {
        then.accept(grant(now));
      } else if (tokens > 0) {
        tokens--;
        then.accept(grant(now));
      } else {
        then.accept(refused(Math.max(1, grant.retryAfterMillis()), now));
      }
    }
  }

  /** The report got no answer; another coordinator is asked next. */
  void onReportTimeout(long now) {
    awaitingAnswer = false;
    hasUnreported = true;
    lastReportMillis = now - REPORT_BATCH_MILLIS;
  }

  /** No coordinator answers: until one does, the VM lets run a part of what it did before. */
  void enterIsolation(Quota quota, long now) {
    if (!isolated) {
      isolated = true;
      isolatedAllowance = Math.max(1, (int) (ISOLATED_FRACTION * admittedInWindow.count(now)));
    }
    decideWaitingIsolated(quota, now);
  }

  private void decideWaitingIsolated(Quota quota, long now) {
    while (!waiting.isEmpty()) {
      waiting.removeFirst().onDecision().accept(admit(quota, now));
    }
  }

  /** Decides what has waited for too long, by what the VM knows itself. */
  void decideOverdue(long now) {
    while (!waiting.isEmpty() && now - waiting.peekFirst().sinceMillis() >= MAX_WAIT_MILLIS) {
      waiting.removeFirst().onDecision().accept(refused(MAX_WAIT_MILLIS, now));
    }
  }

  private void expireTokens(long now) {
    if (tokens > 0 && now >= tokensExpireMillis) {
      tokens = 0;
      hasUnreported = true;
    }
  }
}
