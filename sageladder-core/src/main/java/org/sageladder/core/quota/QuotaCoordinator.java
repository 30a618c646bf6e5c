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
  private static final long LIFT_MILLIS = 2_000;

  /** Share of the quota's window below which VMs go back to reporting. */
  private static final double LIFT_SHARE = 0.8;

  /** Tokens of a VM that has not reported for so long have run out there or count as used. */
  private static final long HELD_MILLIS = 2_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private static final class Reporter {
    int number;
    int total;
    int recent;
    int held;
    long at;
  }

  private final QuotaBounds bounds;
  private final long countedSince;
  private final Map<String, Reporter> reporters = new HashMap<>();
  private final SlidingCount window;
  private final SlidingCount lately;
  private int held;
  private Quota quota;
  private boolean limited;
  private long refusedAt;
  private long nextFreeAt;

  /**
   * A coordinator that has no report yet.
   *
   * @param countedSince since when its VM knows what ran
   */
  QuotaCoordinator(QuotaBounds bounds, Quota quota, long countedSince) {
    this.bounds = bounds;
    this.countedSince = countedSince;
    this.quota = quota;
    this.window = new SlidingCount(bounds.windowMillis());
    this.lately = new SlidingCount((long) MILLIS_PER_SECOND);
    this.limited = bounds.areExact();
  }

  /** Puts a changed quota in force. */
  void quota(Quota newer) {
    quota = newer;
  }

  /** True while VMs need tokens. */
  boolean isLimited() {
    return limited;
  }

  /** Takes a VM's report in and answers it. */
  TokenGrant report(String vm, UsageReport report, long now) {
    record(vm, report, now);
    double used = used(now);
    updateLimited(used, now);
    if (!limited) {
      return new TokenGrant(report.workspace(), report.number(), false, report.wanted(), 0);
    }
    double room = bounds.served(quota) - used;
    int tokens = (int) Math.max(0, Math.min(report.wanted(), Math.floor(room)));
    hold(reporters.get(vm), report.held() + tokens);
    long retry = 0;
    if (tokens < report.wanted()) {
      retry = retryMillis(report.wanted() - tokens, now);
    }
    return new TokenGrant(report.workspace(), report.number(), true, tokens, retry);
  }

  private void record(String vm, UsageReport report, long now) {
    Reporter known = reporters.computeIfAbsent(vm, name -> new Reporter());
    int ran = ran(known, report);
    window.add(ran, now);
    lately.add(ran, now);
    hold(known, report.held());
    known.number = report.number();
    known.total = report.total();
    known.recent = report.recent();
    known.at = now;
  }

  /**
   * Requests that ran since the VM's last report here. Of a VM that reports here for the first
   * time, or that has started again, all of the last window count; and never more than these, since
   * a VM may have reported to another coordinator meanwhile.
   */
  private static int ran(Reporter known, UsageReport report) {
    boolean continues = known.number > 0 && report.number() > known.number;
    return continues ? Math.min(report.total() - known.total, report.recent()) : report.recent();
  }

  private void hold(Reporter reporter, int tokens) {
    held += tokens - reporter.held;
    reporter.held = tokens;
  }

  /**
   * Requests of the last window, and tokens that may add to it. Where all VMs are killed at once
   * nobody knows what ran before: of the part of the window before this VM's start the whole quota
   * counts as used.
   */
  private double used(long now) {
    double unknown = Math.max(0, 1 - (double) (now - countedSince) / bounds.windowMillis());
    return Math.max(window.count(now), reported()) + held + unknown * bounds.allowed(quota);
  }

  /**
   * Sum of what each VM reported last. While tokens are needed VMs report as long as their own
   * window has requests: one that falls silent is cut off, and may be let run as much by another
   * coordinator on its side of the cut.
   */
  private int reported() {
    int sum = 0;
    if (limited) {
      for (Reporter known : reporters.values()) {
        sum += known.recent;
      }
    }
    return sum;
  }

  private void updateLimited(double used, long now) {
    double unseen = lately.count(now) * REACTION_MILLIS / MILLIS_PER_SECOND;
    if (!limited) {
      limited = used + unseen > bounds.served(quota);
      if (limited) {
        refusedAt = now;
        nextFreeAt = now;
      }
      return;
    }
    if (bounds.areExact()) {
      return;
    }
    boolean quiet = now - refusedAt > LIFT_MILLIS;
    limited = !(quiet && used + unseen < LIFT_SHARE * bounds.allowed(quota));
  }

  /** Refused requests may come back one after the other, at the quota's rate. */
  private long retryMillis(int refused, long now) {
    refusedAt = now;
    double each = MILLIS_PER_SECOND / quota.ratePerSecond();
    nextFreeAt = Math.max(nextFreeAt, now) + (long) Math.ceil(refused * each);
    nextFreeAt = Math.min(nextFreeAt, now + bounds.windowMillis());
    return nextFreeAt - now;
  }

  /** Forgets tokens that have run out, and VMs that have not reported for two windows. */
  void sweep(long now) {
    for (Reporter known : reporters.values()) {
      if (known.held > 0 && now - known.at > HELD_MILLIS) {
        hold(known, 0);
      }
    }
    reporters.values().removeIf(known -> now - known.at > 2 * bounds.windowMillis());
  }

  /** True where no VM has reported lately, so that nothing is known that a new one would not. */
  boolean isIdle() {
    return reporters.isEmpty();
  }
}
