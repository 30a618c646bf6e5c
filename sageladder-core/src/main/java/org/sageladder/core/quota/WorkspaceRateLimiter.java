package org.sageladder.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.sageladder.core.quota.QuotaMessage.TokenGrant;
import org.sageladder.core.quota.QuotaMessage.UsageReport;
import org.sageladder.core.routing.Quota;

/**
 * Rate limiter of one workspace in one entry VM: counts the admitted requests, and holds the tokens
 * and the requests that wait for one.
 *
 * <p>Requests are admitted immediately and reported later. Once the coordinator announces that the
 * quota is nearly used up, each request needs a token. A VM that reaches no coordinator is isolated
 * and admits a fraction of what it admitted before.
 */
final class WorkspaceRateLimiter {
  /**
   * How long a coordinator's notice that tokens are required is valid; it is repeated each second.
   */
  private static final long NOTICE_VALIDITY_MILLIS = 3_000;

  /** Unused tokens are returned after this time, since another VM may need them. */
  private static final long TOKEN_LIFETIME_MILLIS = 1_000;

  /** Tokens are also requested in advance, for the requests expected in this time. */
  private static final long PREFETCH_MILLIS = 200;

  /** While tokens are required, VMs that admit requests report at least this often. */
  private static final long KEEP_ALIVE_MILLIS = 1_000;

  /**
   * While no tokens are required, requests are collected for this time before they are reported.
   */
  private static final long REPORT_BATCH_MILLIS = 400;

  /** Maximum time for which a refusal is reused without asking the coordinator again. */
  private static final long MAX_CACHED_REFUSAL_MILLIS = 200;

  /**
   * Fraction of the requests it admitted in a window that an isolated VM goes on admitting. The
   * other VMs take up what it does not use, so both together must stay within the tolerance.
   */
  private static final double ISOLATED_FRACTION = 0.5;

  /** Maximum time that a request waits for the coordinator's answer. */
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

  WorkspaceRateLimiter(String workspace, QuotaTolerance tolerance) {
    this.workspace = workspace;
    this.tolerance = tolerance;
    this.admittedInWindow = new SlidingWindowCounter(tolerance.windowMillis());
  }

  /** Decides immediately if possible, otherwise returns {@link QuotaDecision.Pending}. */
  QuotaDecision admit(Quota quota, long nowMillis) {
    expireTokens(nowMillis);
    if (isolated) {
      return admittedInWindow.count(nowMillis) < isolatedAllowance
          ? grant(nowMillis)
          : refusedWhileIsolated(quota);
    }
    if (!requiresTokens(nowMillis)) {
      return grant(nowMillis);
    }
    if (tokens > 0 && waiting.isEmpty()) {
      tokens--;
      return grant(nowMillis);
    }
    if (nowMillis < cachedRefusalUntilMillis) {
      return refused(cachedRetryAfterMillis, nowMillis);
    }
    return new QuotaDecision.Pending();
  }

  private boolean requiresTokens(long nowMillis) {
    return nowMillis < tokensRequiredUntilMillis || tolerance.isExact();
  }

  private QuotaDecision grant(long nowMillis) {
    adjustCount(1, nowMillis);
    return new QuotaDecision.Granted();
  }

  private QuotaDecision refused(long retryAfterMillis, long nowMillis) {
    return new QuotaDecision.Refused(
        retryAfterMillis,
        admittedInWindow.count(nowMillis)
            + " requests admitted here in the window, no tokens left");
  }

  private QuotaDecision refusedWhileIsolated(Quota quota) {
    long retryAfterMillis = (long) Math.ceil(1_000 / Math.max(1, quota.ratePerSecond()));
    return new QuotaDecision.Refused(
        retryAfterMillis,
        isolatedAllowance + " requests allowed in the window while no coordinator answers");
  }

  /** Queues a request whose decision is pending. */
  void enqueue(Consumer<QuotaDecision> onDecision, long nowMillis) {
    waiting.addLast(new Waiter(nowMillis, onDecision));
  }

  /** Corrects the count for a request that is sent again, or that will not run after all. */
  void adjustCount(int requests, long nowMillis) {
    admittedInWindow.add(requests, nowMillis);
    totalAdmitted += requests;
    hasUnreported = true;
  }

  /** True if a report is due. */
  boolean isReportDue(long nowMillis) {
    if (awaitingAnswer) {
      return false;
    }
    if (isKeepAliveDue(nowMillis)) {
      return true;
    }
    boolean hasWaiting = !waiting.isEmpty();
    boolean isBatchComplete =
        nowMillis - lastReportMillis
            >= (requiresTokens(nowMillis) ? PREFETCH_MILLIS : REPORT_BATCH_MILLIS);
    return hasWaiting || (hasUnreported && isBatchComplete);
  }

  private boolean isKeepAliveDue(long nowMillis) {
    return requiresTokens(nowMillis)
        && lastReportedCount > 0
        && nowMillis - lastReportMillis >= KEEP_ALIVE_MILLIS;
  }

  /** True if the workspace must be checked again at the next tick. */
  boolean isActive(long nowMillis) {
    boolean hasOpenWork = hasUnreported || awaitingAnswer || tokens > 0 || !waiting.isEmpty();
    return hasOpenWork || (requiresTokens(nowMillis) && lastReportedCount > 0);
  }

  /** Time since which a report is unanswered; -1 if none is. */
  long awaitingAnswerSince() {
    return awaitingAnswer ? lastReportMillis : -1;
  }

  /** Creates the report that is due. */
  UsageReport createReport(long nowMillis) {
    expireTokens(nowMillis);
    lastReportNumber = lastReportNumber == Integer.MAX_VALUE ? 1 : lastReportNumber + 1;
    hasUnreported = false;
    awaitingAnswer = true;
    lastReportMillis = nowMillis;
    int windowCount = admittedInWindow.count(nowMillis);
    lastReportedCount = windowCount;
    return new UsageReport(
        workspace,
        lastReportNumber,
        totalAdmitted,
        windowCount,
        wantedTokens(windowCount, nowMillis),
        tokens);
  }

  private int wantedTokens(int windowCount, long nowMillis) {
    if (!requiresTokens(nowMillis)) {
      return waiting.size();
    }
    int prefetchTokens = (int) (windowCount * PREFETCH_MILLIS / tolerance.windowMillis());
    return Math.max(0, waiting.size() + prefetchTokens - tokens);
  }

  /**
   * Applies the answer to the last report, or a notice.
   *
   * @param isFirstCoordinator true if the grant comes from the workspace's first coordinator. Only
   *     then may it end the need for tokens: a coordinator that has just taken over does not have
   *     the reports of all VMs yet.
   */
  void applyGrant(TokenGrant grant, boolean isFirstCoordinator, long nowMillis) {
    if (grant.reportNumber() == TokenGrant.NOTICE) {
      tokensRequiredUntilMillis = nowMillis + NOTICE_VALIDITY_MILLIS;
      return;
    }
    if (!awaitingAnswer || grant.reportNumber() != lastReportNumber) {
      return;
    }
    awaitingAnswer = false;
    isolated = false;
    if (grant.tokensRequired()) {
      tokensRequiredUntilMillis = nowMillis + NOTICE_VALIDITY_MILLIS;
    } else if (isFirstCoordinator) {
      tokensRequiredUntilMillis = nowMillis;
    }
    tokens += grant.tokens();
    tokensExpireMillis = nowMillis + TOKEN_LIFETIME_MILLIS;
    if (grant.retryAfterMillis() > 0) {
      cachedRetryAfterMillis = grant.retryAfterMillis();
      cachedRefusalUntilMillis =
          nowMillis + Math.min(MAX_CACHED_REFUSAL_MILLIS, grant.retryAfterMillis());
    }
    decideWaiting(grant, nowMillis);
  }

  private void decideWaiting(TokenGrant grant, long nowMillis) {
    while (!waiting.isEmpty()) {
      Consumer<QuotaDecision> onDecision = waiting.removeFirst().onDecision();
      if (!requiresTokens(nowMillis)) {
        onDecision.accept(grant(nowMillis));
      } else if (tokens > 0) {
        tokens--;
        onDecision.accept(grant(nowMillis));
      } else {
        onDecision.accept(refused(Math.max(1, grant.retryAfterMillis()), nowMillis));
      }
    }
  }

  /** Records that the last report got no answer, so that it is sent again. */
  void onReportTimeout(long nowMillis) {
    awaitingAnswer = false;
    hasUnreported = true;
    lastReportMillis = nowMillis - REPORT_BATCH_MILLIS;
  }

  /**
   * Isolates the VM: until a coordinator answers, it admits a fraction of what it admitted before.
   */
  void enterIsolation(Quota quota, long nowMillis) {
    if (!isolated) {
      isolated = true;
      isolatedAllowance =
          Math.max(1, (int) (ISOLATED_FRACTION * admittedInWindow.count(nowMillis)));
    }
    decideWaitingIsolated(quota, nowMillis);
  }

  private void decideWaitingIsolated(Quota quota, long nowMillis) {
    while (!waiting.isEmpty()) {
      waiting.removeFirst().onDecision().accept(admit(quota, nowMillis));
    }
  }

  /** Refuses the requests that have waited too long for the coordinator's answer. */
  void decideOverdue(long nowMillis) {
    while (!waiting.isEmpty() && nowMillis - waiting.peekFirst().sinceMillis() >= MAX_WAIT_MILLIS) {
      waiting.removeFirst().onDecision().accept(refused(MAX_WAIT_MILLIS, nowMillis));
    }
  }

  private void expireTokens(long nowMillis) {
    if (tokens > 0 && nowMillis >= tokensExpireMillis) {
      tokens = 0;
      hasUnreported = true;
    }
  }
}
