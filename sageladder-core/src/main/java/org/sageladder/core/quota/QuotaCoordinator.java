package org.sageladder.core.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.sageladder.core.quota.QuotaMessage.TokenGrant;
import org.sageladder.core.quota.QuotaMessage.UsageReport;
import org.sageladder.core.routing.Quota;

/**
 * Counts the requests of one workspace over all entry VMs and hands out tokens once the workspace
 * nears its quota.
 *
 * <p>Up to the admission ceiling, which is the quota plus half of the tolerance, VMs get tokens in
 * advance and may admit a few requests before they report them, so that hardly any request waits.
 * Tokens count as used while a VM holds them, and so do the requests that may run unreported: at
 * most {@link QuotaTolerance#maxUnreportedPerVm} of each VM, and no more than can arrive within
 * {@link #REACTION_MILLIS} at the current rate. Above the ceiling VMs need a token for each
 * request, and get as many tokens per window as the ceiling allows. The other half of the tolerance
 * covers requests that are not counted in time: those of disconnected VMs and those that are sent
 * again.
 *
 * <p>If the tolerance is zero, VMs always need tokens.
 *
 * <p>Keeps no state that must be persisted: a VM's first report to a new coordinator contains what
 * it admitted in the last window, so the new coordinator is up to date after one report of each VM.
 */
final class QuotaCoordinator {
  /** Time from the admission of a request until all VMs know that tokens are required. */
  static final long REACTION_MILLIS = 600;

  /** Time over which the rate of a beginning surge is measured. */
  private static final long SURGE_RATE_MILLIS = 200;

  /** VMs go back to reporting after this time without a refusal, if the use is low enough. */
  private static final long MIN_QUIET_MILLIS = 2_000;

  /** Fraction of the requests allowed per window below which VMs go back to reporting. */
  private static final double RESUME_REPORTING_FRACTION = 0.8;

  /**
   * Maximum age of the report from which a VM's held tokens are counted. After that time the tokens
   * have expired at the VM, or have been used and are counted as requests.
   */
  private static final long MAX_HELD_TOKENS_AGE_MILLIS = 2_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private static final class Reporter {
    int lastReportNumber;
    int totalAdmitted;
    int admittedInWindow;
    int heldTokens;
    int lastGrantedTokens;
    long lastReportMillis;
  }

  private final QuotaTolerance tolerance;
  private final long countedSinceMillis;
  private final Map<String, Reporter> reporters = new HashMap<>();
  private final SlidingWindowCounter windowCount;
  private final SlidingWindowCounter lastSecondCount;
  private final SlidingWindowCounter surgeCount;
  private int vmCount = 1;
  private int heldTokens;
  private Quota quota;
  private boolean tokensRequired;
  private long lastRefusalMillis;
  private long nextRetryMillis;

  /**
   * Creates a coordinator that has no reports yet.
   *
   * @param countedSinceMillis time from which its VM has a complete count of requests
   */
  QuotaCoordinator(QuotaTolerance tolerance, Quota quota, long countedSinceMillis) {
    this.tolerance = tolerance;
    this.countedSinceMillis = countedSinceMillis;
    this.quota = quota;
    this.windowCount = new SlidingWindowCounter(tolerance.windowMillis());
    this.lastSecondCount = new SlidingWindowCounter((long) MILLIS_PER_SECOND);
    this.surgeCount = new SlidingWindowCounter(SURGE_RATE_MILLIS);
    this.tokensRequired = tolerance.isExact();
  }

  /** Puts a changed quota in force. */
  void updateQuota(Quota newQuota) {
    quota = newQuota;
  }

  /** Updates the number of VMs that may admit requests. */
  void updateVmCount(int newVmCount) {
    vmCount = newVmCount;
  }

  /** Names of the VMs that have reported recently. */
  Set<String> reporterNames() {
    return reporters.keySet();
  }

  /** True while VMs need a token for each request. */
  boolean requiresTokens() {
    return tokensRequired;
  }

  /** Records a VM's report and answers it. */
  TokenGrant answerReport(String vm, UsageReport report, long nowMillis) {
    Reporter reporter = reporters.computeIfAbsent(vm, name -> new Reporter());
    if (isRepeated(reporter, report)) {
      return grant(report, reporter.lastGrantedTokens, nowMillis);
    }
    recordReport(reporter, report, nowMillis);
    double usedRequests = usedRequests(nowMillis);
    updateTokensRequired(usedRequests, nowMillis);
    int tokens = grantableTokens(report, usedRequests, nowMillis);
    setHeldTokens(reporter, report.heldTokens() + tokens);
    reporter.lastGrantedTokens = tokens;
    return grant(report, tokens, nowMillis);
  }

  private TokenGrant grant(UsageReport report, int tokens, long nowMillis) {
    long retryAfterMillis = 0;
    if (tokens < report.wantedTokens() && tokensRequired) {
      retryAfterMillis = retryAfterMillis(report.wantedTokens() - tokens, nowMillis);
    }
    return new TokenGrant(
        report.workspace(), report.reportNumber(), tokensRequired, tokens, retryAfterMillis);
  }

  private int grantableTokens(UsageReport report, double usedRequests, long nowMillis) {
    double reserved = tokensRequired ? 0 : unreportedRequests(nowMillis);
    double available = tolerance.admissionCeiling(quota) - usedRequests - reserved;
    return (int) Math.max(0, Math.min(report.wantedTokens(), Math.floor(available)));
  }

  /** True if the report has been received before, so that only its answer was lost. */
  private static boolean isRepeated(Reporter reporter, UsageReport report) {
    return reporter.lastReportNumber == report.reportNumber()
        && reporter.totalAdmitted == report.totalAdmitted();
  }

  private void recordReport(Reporter reporter, UsageReport report, long nowMillis) {
    int admitted = admittedSinceLastReport(reporter, report);
    windowCount.add(admitted, nowMillis);
    lastSecondCount.add(admitted, nowMillis);
    surgeCount.add(admitted, nowMillis);
    setHeldTokens(reporter, report.heldTokens());
    reporter.lastReportNumber = report.reportNumber();
    reporter.totalAdmitted = report.totalAdmitted();
    reporter.admittedInWindow = report.admittedInWindow();
    reporter.lastReportMillis = nowMillis;
  }

  /**
   * Requests that the VM admitted since its last report to this coordinator. If this is its first
   * report here, or it has restarted, all requests of its last window count. The result is never
   * larger than that number, since the VM may have reported to another coordinator in between.
   */
  private static int admittedSinceLastReport(Reporter reporter, UsageReport report) {
    boolean isNextReport =
        reporter.lastReportNumber > 0 && report.reportNumber() > reporter.lastReportNumber;
    return isNextReport
        ? Math.min(report.totalAdmitted() - reporter.totalAdmitted, report.admittedInWindow())
        : report.admittedInWindow();
  }

  private void setHeldTokens(Reporter reporter, int tokens) {
    heldTokens += tokens - reporter.heldTokens;
    reporter.heldTokens = tokens;
  }

  /**
   * Requests of the last window plus the tokens that may still be used. If all VMs were killed at
   * the same time, the earlier counts are lost: for the fraction of the window before this VM's
   * start, the full quota counts as used.
   */
  private double usedRequests(long nowMillis) {
    double unknownFraction =
        Math.max(0, 1 - (double) (nowMillis - countedSinceMillis) / tolerance.windowMillis());
    return Math.max(windowCount.count(nowMillis), reportedRequests())
        + heldTokens
        + unknownFraction * tolerance.allowedRequests(quota);
  }

  /**
   * Sum of the last reports of all VMs. While tokens are required, a VM reports as long as its own
   * window contains requests. A VM that stops reporting is disconnected, and a coordinator on its
   * side of the network partition may let it admit as many requests as it reported last.
   */
  private int reportedRequests() {
    int sum = 0;
    if (tokensRequired) {
      for (Reporter reporter : reporters.values()) {
        sum += reporter.admittedInWindow;
      }
    }
    return sum;
  }

  /** Requests that VMs may run before they know that tokens are required. */
  private double unreportedRequests(long nowMillis) {
    double perMilli =
        Math.max(
            lastSecondCount.count(nowMillis) / MILLIS_PER_SECOND,
            (double) surgeCount.count(nowMillis) / SURGE_RATE_MILLIS);
    return Math.min(maxUnreportedRequests(), perMilli * REACTION_MILLIS);
  }

  private int maxUnreportedRequests() {
    int share = tolerance.unreportedShare(quota, vmCount);
    int max =
        vmCount * tolerance.maxUnreportedPerVm(quota, vmCount)
            + Math.max(0, vmCount - reporters.size()) * share;
    for (Reporter reporter : reporters.values()) {
      max += Math.max(0, share - reporter.admittedInWindow);
    }
    return max;
  }

  private void updateTokensRequired(double usedRequests, long nowMillis) {
    double unreportedRequests = unreportedRequests(nowMillis);
    if (!tokensRequired) {
      tokensRequired = usedRequests + unreportedRequests > tolerance.admissionCeiling(quota);
      if (tokensRequired) {
        lastRefusalMillis = nowMillis;
        nextRetryMillis = nowMillis;
      }
      return;
    }
    if (tolerance.isExact()) {
      return;
    }
    boolean isQuiet = nowMillis - lastRefusalMillis > MIN_QUIET_MILLIS;
    tokensRequired =
        !(isQuiet
            && usedRequests + unreportedRequests
                < RESUME_REPORTING_FRACTION * tolerance.allowedRequests(quota));
  }

  /** Spreads the retries of refused requests one after the other at the rate of the quota. */
  private long retryAfterMillis(int refusedCount, long nowMillis) {
    lastRefusalMillis = nowMillis;
    double millisPerRequest = MILLIS_PER_SECOND / quota.ratePerSecond();
    nextRetryMillis =
        Math.max(nextRetryMillis, nowMillis) + (long) Math.ceil(refusedCount * millisPerRequest);
    nextRetryMillis = Math.min(nextRetryMillis, nowMillis + tolerance.windowMillis());
    return nextRetryMillis - nowMillis;
  }

  /** Removes expired tokens, and VMs that have not reported for two windows. */
  void removeStale(long nowMillis) {
    for (Reporter reporter : reporters.values()) {
      if (reporter.heldTokens > 0
          && nowMillis - reporter.lastReportMillis > MAX_HELD_TOKENS_AGE_MILLIS) {
        setHeldTokens(reporter, 0);
      }
    }
    reporters
        .values()
        .removeIf(reporter -> nowMillis - reporter.lastReportMillis > 2 * tolerance.windowMillis());
  }

  /**
   * True if no VM has reported recently, so that this coordinator has no more information than a
   * new one.
   */
  boolean isIdle() {
    return reporters.isEmpty();
  }
}
