package org.sageladder.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.quota.QuotaMessage.TokenGrant;
import org.sageladder.core.quota.QuotaMessage.UsageReport;
import org.sageladder.core.routing.Quota;

/**
 * Rate limiter of one workspace in one entry VM: counts the admitted requests, and holds the tokens
 * and the requests that wait for one.
 *
 * <p>A request uses a token that was granted in advance, or is admitted before it is reported, up
 * to a limit of unreported requests; further ones wait for the coordinator's answer. Once the
 * coordinator announces that the quota is nearly used up, each request needs a token. A VM that
 * reaches no coordinator is isolated and admits a fraction of what it admitted before.
 */
final class WorkspaceRateLimiter {
  /**
   * How long a coordinator's notice that tokens are required is valid; it is repeated each second.
   */
  private static final long NOTICE_VALIDITY_MILLIS = 3_000;

  /**
   * Unused tokens are returned after this time, since another VM may need them. It begins with the
   * report that requested them, so that they expire here before the coordinator stops counting
   * them.
   */
  private static final long TOKEN_LIFETIME_MILLIS = 1_000;

  /** Tokens held in advance are renewed this long before they expire; covers a round trip. */
  private static final long RENEWAL_MILLIS = 300;

  /** While tokens are required, they are also requested for the requests of this time. */
  private static final long PREFETCH_MILLIS = 200;

  /** Time for which tokens are requested in advance while the quota is far from used up. */
  private static final long EARLY_PREFETCH_MILLIS = 3_000;

  /** While tokens are required, VMs that admit requests report at least this often. */
  private static final long KEEP_ALIVE_MILLIS = 1_000;

  /**
   * Time after a change of coordinator in which a VM requests no tokens, since the new coordinator
   * does not have the reports of all VMs yet.
   */
  private static final long TAKEOVER_MILLIS = 1_000;

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
  private int maxUnreported = 1;
  private int unreportedShare;
  private long takeoverUntilMillis = Long.MIN_VALUE / 2;
  private int admittedSinceReport;
  private int admittedUnacknowledged;
  private @Nullable UsageReport unansweredReport;
  private long lastReportMillis = Long.MIN_VALUE / 2;
  private long lastTransmissionMillis;
  private boolean isolated;
  private int isolatedAllowance;

  WorkspaceRateLimiter(String workspace, QuotaTolerance tolerance) {
    this.workspace = workspace;
    this.tolerance = tolerance;
    this.admittedInWindow = new SlidingWindowCounter(tolerance.windowMillis());
  }

  /**
   * Sets which requests may be admitted without a token before the coordinator knows of them: up to
   * {@code newMaxUnreported}, and more as long as fewer than {@code newUnreportedShare} were
   * admitted in the window.
   */
  void updateUnreportedLimits(int newMaxUnreported, int newUnreportedShare) {
    maxUnreported = newMaxUnreported;
    unreportedShare = newUnreportedShare;
  }

  /** Records that the next reports go to another coordinator. */
  void onCoordinatorChange(long nowMillis) {
    if (!tolerance.isExact()) {
      takeoverUntilMillis = nowMillis + TAKEOVER_MILLIS;
    }
  }

  /** Decides immediately if possible, otherwise returns {@link QuotaDecision.Pending}. */
  QuotaDecision admit(Quota quota, long nowMillis) {
    expireTokens(nowMillis);
    if (isolated) {
      return admittedInWindow.count(nowMillis) < isolatedAllowance
          ? grant(nowMillis)
          : refusedWhileIsolated(quota);
    }
    if (waiting.isEmpty() && tryTake(nowMillis)) {
      return grant(nowMillis);
    }
    if (requiresTokens(nowMillis) && nowMillis < cachedRefusalUntilMillis) {
      return refused(cachedRetryAfterMillis, nowMillis);
    }
    return new QuotaDecision.Pending();
  }

  /** Takes a token, or else one of the requests that may run unreported, if there is one. */
  private boolean tryTake(long nowMillis) {
    if (tokens > 0) {
      tokens--;
      return true;
    }
    if (requiresTokens(nowMillis) || !hasUnreportedAllowance(nowMillis)) {
      return false;
    }
    admittedSinceReport++;
    return true;
  }

  private boolean hasUnreportedAllowance(long nowMillis) {
    return admittedSinceReport + admittedUnacknowledged < maxUnreported
        || admittedInWindow.count(nowMillis) < unreportedShare;
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

  /** Counts an admitted request that is sent again, which needs no token. */
  void recordResend(long nowMillis) {
    admittedSinceReport++;
    adjustCount(1, nowMillis);
  }

  /** Corrects the count for a request that will not run after all. */
  void cancelAdmission(long nowMillis) {
    adjustCount(-1, nowMillis);
  }

  private void adjustCount(int requests, long nowMillis) {
    admittedInWindow.add(requests, nowMillis);
    totalAdmitted += requests;
    hasUnreported = true;
  }

  /** True if a report is due. */
  boolean isReportDue(long nowMillis) {
    expireTokens(nowMillis);
    if (unansweredReport != null) {
      return false;
    }
    if (isKeepAliveDue(nowMillis)) {
      return true;
    }
    boolean hasWaiting = !waiting.isEmpty();
    boolean isBatchComplete =
        nowMillis - lastReportMillis
            >= (requiresTokens(nowMillis) ? PREFETCH_MILLIS : REPORT_BATCH_MILLIS);
    int windowCount = admittedInWindow.count(nowMillis);
    int prefetchTokens = prefetchTokens(windowCount, nowMillis);
    boolean isReserveLow = windowCount >= unreportedShare && tokens <= prefetchTokens / 2;
    boolean isRenewalDue =
        !requiresTokens(nowMillis)
            && prefetchTokens > 0
            && tokens > 0
            && nowMillis >= tokensExpireMillis - RENEWAL_MILLIS;
    return hasWaiting || isRenewalDue || (hasUnreported && (isBatchComplete || isReserveLow));
  }

  private boolean isKeepAliveDue(long nowMillis) {
    return requiresTokens(nowMillis)
        && lastReportedCount > 0
        && nowMillis - lastReportMillis >= KEEP_ALIVE_MILLIS;
  }

  /** True if the workspace must be checked again at the next tick. */
  boolean isActive(long nowMillis) {
    boolean hasOpenWork =
        hasUnreported || unansweredReport != null || tokens > 0 || !waiting.isEmpty();
    return hasOpenWork || (requiresTokens(nowMillis) && lastReportedCount > 0);
  }

  /** Time of the last transmission of an unanswered report; -1 if there is none. */
  long awaitingAnswerSince() {
    return unansweredReport == null ? -1 : lastTransmissionMillis;
  }

  /** The unanswered report, to be transmitted again unchanged; null if there is none. */
  @Nullable UsageReport retransmit(long nowMillis) {
    lastTransmissionMillis = nowMillis;
    return unansweredReport;
  }

  /** Creates the report that is due. */
  UsageReport createReport(long nowMillis) {
    expireTokens(nowMillis);
    lastReportNumber = lastReportNumber == Integer.MAX_VALUE ? 1 : lastReportNumber + 1;
    hasUnreported = false;
    admittedUnacknowledged += admittedSinceReport;
    admittedSinceReport = 0;
    lastReportMillis = nowMillis;
    lastTransmissionMillis = nowMillis;
    int windowCount = admittedInWindow.count(nowMillis);
    lastReportedCount = windowCount;
    UsageReport report =
        new UsageReport(
            workspace,
            lastReportNumber,
            totalAdmitted,
            windowCount,
            wantedTokens(windowCount, nowMillis),
            tokens);
    unansweredReport = report;
    return report;
  }

  private int wantedTokens(int windowCount, long nowMillis) {
    if (nowMillis < takeoverUntilMillis) {
      return 0;
    }
    int prefetchTokens = prefetchTokens(windowCount, nowMillis);
    return Math.max(0, waiting.size() + prefetchTokens - tokens);
  }

  /** Tokens that the VM holds in advance, by the requests of its last window. */
  private int prefetchTokens(int windowCount, long nowMillis) {
    long prefetchMillis = requiresTokens(nowMillis) ? PREFETCH_MILLIS : EARLY_PREFETCH_MILLIS;
    return (int) Math.round((double) windowCount * prefetchMillis / tolerance.windowMillis());
  }

  /**
   * Applies the answer to the last report, or a notice.
   *
   * @param mayEndTokenRequirement false if the coordinator has just taken over and does not have
   *     the reports of all VMs yet
   */
  void applyGrant(TokenGrant grant, boolean mayEndTokenRequirement, long nowMillis) {
    if (grant.reportNumber() == TokenGrant.NOTICE) {
      tokensRequiredUntilMillis = nowMillis + NOTICE_VALIDITY_MILLIS;
      return;
    }
    if (unansweredReport == null || grant.reportNumber() != lastReportNumber) {
      return;
    }
    unansweredReport = null;
    admittedUnacknowledged = 0;
    isolated = false;
    if (grant.tokensRequired()) {
      tokensRequiredUntilMillis = nowMillis + NOTICE_VALIDITY_MILLIS;
    } else if (mayEndTokenRequirement) {
      tokensRequiredUntilMillis = nowMillis;
    }
    tokens += grant.tokens();
    tokensExpireMillis = lastReportMillis + TOKEN_LIFETIME_MILLIS;
    expireTokens(nowMillis);
    if (grant.retryAfterMillis() > 0) {
      cachedRetryAfterMillis = grant.retryAfterMillis();
      cachedRefusalUntilMillis =
          nowMillis + Math.min(MAX_CACHED_REFUSAL_MILLIS, grant.retryAfterMillis());
    }
    decideWaiting(grant, nowMillis);
  }

  /**
   * Decides the requests that wait. If no token is required, those that got none wait for the next
   * answer.
   */
  private void decideWaiting(TokenGrant grant, long nowMillis) {
    while (!waiting.isEmpty()) {
      boolean isTaken = tryTake(nowMillis);
      if (!isTaken && !requiresTokens(nowMillis)) {
        return;
      }
      long retryAfterMillis =
          Math.max(grant.retryAfterMillis(), Math.max(1, takeoverUntilMillis - nowMillis));
      Consumer<QuotaDecision> onDecision = waiting.removeFirst().onDecision();
      onDecision.accept(isTaken ? grant(nowMillis) : refused(retryAfterMillis, nowMillis));
    }
  }

  /** Gives up the unanswered report; the next one goes to another coordinator. */
  void abandonReport(long nowMillis) {
    unansweredReport = null;
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
