package org.sageladder.core.quota;

import java.util.HashMap;
import java.util.Map;
import org.sageladder.core.quota.QuotaMessage.TokenGrant;
import org.sageladder.core.quota.QuotaMessage.UsageReport;
import org.sageladder.core.routing.Quota;

/**
 * Counts one workspace's use over all entry VMs, and hands out tokens once it nears its quota.
 *
 * <p>Up to the quota and half of what the contract lets lie over it, VMs only report, so that no
 * request waits. The reports may be as old as {@link #REACTION_MILLIS}; what could run in that time
 * at the present rate counts as used. From then on VMs need tokens, as many in a window. The other
 * half of the tolerance covers what is let run unseen: by VMs that are cut off, or by requests that
 * are sent again.
 *
 * <p>Where the contract leaves no room over a quota, VMs need tokens at any time.
 *
 * <p>Keeps nothing that must last: a VM's first report to another coordinator has what it let run
 * in the last window, so that this one knows as much after one report of each.
 */
final class QuotaCoordinator {
  /** From a request's admission until all VMs know that tokens are needed. */
  static final long REACTION_MILLIS = 600;

  /** Without a refusal for this long, and with room, VMs go back to reporting. */
  private static final long MIN_QUIET_MILLIS = 2_000;

  /** Share of the quota's window below which VMs go back to reporting. */
  private static final double RESUME_REPORTING_FRACTION = 0.8;

  /** Tokens of a VM that has not reported for so long have run out there or count as used. */
  private static final long MAX_HELD_TOKENS_AGE_MILLIS = 2_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private static final class Reporter {
    int lastReportNumber;
    int totalAdmitted;
    int admittedInWindow;
    int heldTokens;
    long lastReportMillis;
  }

  private final QuotaTolerance tolerance;
  private final long countedSinceMillis;
  private final Map<String, Reporter> reporters = new HashMap<>();
  private final SlidingWindowCounter windowCount;
  private final SlidingWindowCounter lastSecondCount;
  private int heldTokens;
  private Quota quota;
  private boolean tokensRequired;
  private long lastRefusalMillis;
  private long nextRetryMillis;

  /**
   * A coordinator that has no report yet.
   *
   * @param countedSince since when its VM knows what ran
   */
  QuotaCoordinator(QuotaTolerance bounds, Quota quota, long countedSince) {
    this.tolerance = bounds;
    this.countedSinceMillis = countedSince;
    this.quota = quota;
    this.windowCount = new SlidingWindowCounter(bounds.windowMillis());
    this.lastSecondCount = new SlidingWindowCounter((long) MILLIS_PER_SECOND);
    this.tokensRequired = bounds.isExact();
  }

  /** Puts a changed quota in force. */
  void updateQuota(Quota newer) {
    quota = newer;
  }

  /** True while VMs need tokens. */
  boolean requiresTokens() {
    return tokensRequired;
  }

  /** Takes a VM's report in and answers it. */
  TokenGrant answerReport(String vm, UsageReport report, long now) {
    recordReport(vm, report, now);
    double used = usedRequests(now);
    updateTokensRequired(used, now);
    if (!tokensRequired) {
      return new TokenGrant(
          report.workspace(), report.reportNumber(), false, report.wantedTokens(), 0);
    }
    double room = tolerance.admissionCeiling(quota) - used;
    int tokens = (int) Math.max(0, Math.min(report.wantedTokens(), Math.floor(room)));
    setHeldTokens(reporters.get(vm), report.heldTokens() + tokens);
    long retry = 0;
    if (tokens < report.wantedTokens()) {
      retry = retryAfterMillis(report.wantedTokens() - tokens, now);
    }
    return new TokenGrant(report.workspace(), report.reportNumber(), true, tokens, retry);
  }

  private void recordReport(String vm, UsageReport report, long now) {
    Reporter known = reporters.computeIfAbsent(vm, name -> new Reporter());
    int ran = admittedSinceLastReport(known, report);
    windowCount.add(ran, now);
    lastSecondCount.add(ran, now);
    setHeldTokens(known, report.heldTokens());
    known.lastReportNumber = report.reportNumber();
    known.totalAdmitted = report.totalAdmitted();
    known.admittedInWindow = report.admittedInWindow();
    known.lastReportMillis = now;
  }

  /**
   * Requests that ran since the VM's last report here. Of a VM that reports here for the first
   * time, or that has started again, all of the last window count; and never more than these, since
   * a VM may have reported to another coordinator meanwhile.
   */
  private static int admittedSinceLastReport(Reporter known, UsageReport report) {
    boolean continues =
        known.lastReportNumber > 0 && report.reportNumber() > known.lastReportNumber;
    return continues
        ? Math.min(report.totalAdmitted() - known.totalAdmitted, report.admittedInWindow())
        : report.admittedInWindow();
  }

  private void setHeldTokens(Reporter reporter, int tokens) {
    heldTokens += tokens - reporter.heldTokens;
    reporter.heldTokens = tokens;
  }

  /**
   * Requests of the last window, and tokens that may add to it. Where all VMs are killed at once
   * nobody knows what ran before: of the part of the window before this VM's start the whole quota
   * counts as used.
   */
  private double usedRequests(long now) {
    double unknown =
        Math.max(0, 1 - (double) (now - countedSinceMillis) / tolerance.windowMillis());
    return Math.max(windowCount.count(now), reportedRequests())
        + heldTokens
        + unknown * tolerance.allowedRequests(quota);
  }

  /**
   * Sum of what each VM reported last. While tokens are needed VMs report as long as their own
   * window has requests: one that falls silent is cut off, and may be let run as much by another
   * coordinator on its side of the cut.
   */
  private int reportedRequests() {
    int sum = 0;
    if (tokensRequired) {
      for (Reporter known : reporters.values()) {
        sum += known.admittedInWindow;
      }
    }
    return sum;
  }

  private void updateTokensRequired(double used, long now) {
    double unseen = lastSecondCount.count(now) * REACTION_MILLIS / MILLIS_PER_SECOND;
    if (!tokensRequired) {
      tokensRequired = used + unseen > tolerance.admissionCeiling(quota);
      if (tokensRequired) {
        lastRefusalMillis = now;
        nextRetryMillis = now;
      }
      return;
    }
    if (tolerance.isExact()) {
      return;
    }
    boolean quiet = now - lastRefusalMillis > MIN_QUIET_MILLIS;
    tokensRequired =
        !(quiet && used + unseen < RESUME_REPORTING_FRACTION * tolerance.allowedRequests(quota));
  }

  /** Refused requests may come back one after the other, at the quota's rate. */
  private long retryAfterMillis(int refused, long now) {
    lastRefusalMillis = now;
    double each = MILLIS_PER_SECOND / quota.ratePerSecond();
    nextRetryMillis = Math.max(nextRetryMillis, now) + (long) Math.ceil(refused * each);
    nextRetryMillis = Math.min(nextRetryMillis, now + tolerance.windowMillis());
    return nextRetryMillis - now;
  }

  /** Forgets tokens that have run out, and VMs that have not reported for two windows. */
  void removeStale(long now) {
    for (Reporter known : reporters.values()) {
      if (known.heldTokens > 0 && now - known.lastReportMillis > MAX_HELD_TOKENS_AGE_MILLIS) {
        setHeldTokens(known, 0);
      }
    }
    reporters
        .values()
        .removeIf(known -> now - known.lastReportMillis > 2 * tolerance.windowMillis());
  }

  /** True where no VM has reported lately, so that nothing is known that a new one would not. */
  boolean isIdle() {
    return reporters.isEmpty();
  }
}
