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
  private static final long LIMITED_MILLIS = 3_000;

  /** Tokens not used in this time are given back: another VM may need them. */
  private static final long TOKENS_MILLIS = 1_000;

  /** Tokens asked for beyond the requests that wait cover the requests of this time. */
  private static final long AHEAD_MILLIS = 200;

  /** While tokens are needed, VMs that let requests run report at least this often. */
  private static final long ALIVE_MILLIS = 1_000;

  /** Reports are put together for this long while requests need no tokens. */
  private static final long GATHER_MILLIS = 400;

  /** Longest time for which a refusal is repeated without asking again. */
  private static final long MOST_EMPTY_MILLIS = 200;

  /**
   * Part of what it let run in a window that a VM without coordinator goes on letting run. The
   * others take up what it leaves, so that both together have to stay within the tolerance.
   */
  private static final double ALONE_PART = 0.5;

  /** A request waits for the coordinator's answer no longer than this. */
  private static final long MOST_WAIT_MILLIS = 500;

  private record Waiter(long since, Consumer<QuotaDecision> then) {}

  private final String workspace;
  private final QuotaBounds bounds;
  private final SlidingCount used;
  private final Deque<Waiter> waiting = new ArrayDeque<>();
  private long limitedUntil = Long.MIN_VALUE;
  private long emptyUntil = Long.MIN_VALUE;
  private long emptyRetryMillis;
  private int total;
  private int lastRecent;
  private int tokens;
  private long tokensUntil;
  private int number;
  private boolean unreported;
  private boolean unanswered;
  private long reportedAt = Long.MIN_VALUE / 2;
  private boolean alone;
  private int aloneAllowance;

  WorkspaceMeter(String workspace, QuotaBounds bounds) {
    this.workspace = workspace;
    this.bounds = bounds;
    this.used = new SlidingCount(bounds.windowMillis());
  }

  /** Decides at once where that can be done; {@link QuotaDecision.Pending} where it cannot. */
  QuotaDecision admit(Quota quota, long now) {
    expire(now);
    if (alone) {
      return used.count(now) < aloneAllowance ? grant(now) : refusedAlone(quota);
    }
    if (!isLimited(now)) {
      return grant(now);
    }
    if (tokens > 0 && waiting.isEmpty()) {
      tokens--;
      return grant(now);
    }
    if (now < emptyUntil) {
      return refused(emptyRetryMillis, now);
    }
    return new QuotaDecision.Pending();
  }

  private boolean isLimited(long now) {
    return now < limitedUntil || bounds.areExact();
  }

  private QuotaDecision grant(long now) {
    adjust(1, now);
    return new QuotaDecision.Granted();
  }

  private QuotaDecision refused(long retryMillis, long now) {
    return new QuotaDecision.Refused(
        retryMillis, used.count(now) + " here in the window, no tokens left");
  }

  private QuotaDecision refusedAlone(Quota quota) {
    long retry = (long) Math.ceil(1_000 / Math.max(1, quota.ratePerSecond()));
    return new QuotaDecision.Refused(
        retry, aloneAllowance + " in the window while no coordinator answers");
  }

  /** Keeps a request whose decision is pending. */
  void await(Consumer<QuotaDecision> then, long now) {
    waiting.addLast(new Waiter(now, then));
  }

  /** A request was sent once more, or will not run after all. */
  void adjust(int requests, long now) {
    used.add(requests, now);
    total += requests;
    unreported = true;
  }

  /** True where a report is due now. */
  boolean isReportDue(long now) {
    if (unanswered) {
      return false;
    }
    if (mustShowLife(now)) {
      return true;
    }
    boolean asks = !waiting.isEmpty();
    boolean gathered = now - reportedAt >= (isLimited(now) ? AHEAD_MILLIS : GATHER_MILLIS);
    return asks || (unreported && gathered);
  }

  private boolean mustShowLife(long now) {
    return isLimited(now) && lastRecent > 0 && now - reportedAt >= ALIVE_MILLIS;
  }

  /** True where it has to be looked at again soon. */
  boolean isActive(long now) {
    boolean open = unreported || unanswered || tokens > 0 || !waiting.isEmpty();
    return open || (isLimited(now) && lastRecent > 0);
  }

  /** Since when a report is unanswered; -1 where none is. */
  long unansweredSince() {
    return unanswered ? reportedAt : -1;
  }

  /** The report that is due. */
  UsageReport report(long now) {
    expire(now);
    number = number == Integer.MAX_VALUE ? 1 : number + 1;
    unreported = false;
    unanswered = true;
    reportedAt = now;
    int recent = used.count(now);
    lastRecent = recent;
    return new UsageReport(workspace, number, total, recent, wanted(recent, now), tokens);
  }

  private int wanted(int recent, long now) {
    if (!isLimited(now)) {
      return waiting.size();
    }
    int ahead = (int) (recent * AHEAD_MILLIS / bounds.windowMillis());
    return Math.max(0, waiting.size() + ahead - tokens);
  }

  /**
   * Takes the answer to the last report, or a notice.
   *
   * @param mayLift true where the coordinator is the workspace's first; one that has just taken
   *     over does not have the reports of all VMs yet
   */
  void granted(TokenGrant grant, boolean mayLift, long now) {
    if (grant.number() == TokenGrant.NOTICE) {
      limitedUntil = now + LIMITED_MILLIS;
      return;
    }
    if (!unanswered || grant.number() != number) {
      return;
    }
    unanswered = false;
    alone = false;
    if (grant.limited()) {
      limitedUntil = now + LIMITED_MILLIS;
    } else if (mayLift) {
      limitedUntil = now;
    }
    tokens += grant.tokens();
    tokensUntil = now + TOKENS_MILLIS;
    if (grant.retryMillis() > 0) {
      emptyRetryMillis = grant.retryMillis();
      emptyUntil = now + Math.min(MOST_EMPTY_MILLIS, grant.retryMillis());
    }
    decideWaiting(grant, now);
  }

  private void decideWaiting(TokenGrant grant, long now) {
    while (!waiting.isEmpty()) {
      Consumer<QuotaDecision> then = waiting.removeFirst().then();
      if (!isLimited(now)) {
        then.accept(grant(now));
      } else if (tokens > 0) {
        tokens--;
        then.accept(grant(now));
      } else {
        then.accept(refused(Math.max(1, grant.retryMillis()), now));
      }
    }
  }

  /** The report got no answer; another coordinator is asked next. */
  void unanswered(long now) {
    unanswered = false;
    unreported = true;
    reportedAt = now - GATHER_MILLIS;
  }

  /** No coordinator answers: until one does, the VM lets run a part of what it did before. */
  void alone(Quota quota, long now) {
    if (!alone) {
      alone = true;
      aloneAllowance = Math.max(1, (int) (ALONE_PART * used.count(now)));
    }
    decideAlone(quota, now);
  }

  private void decideAlone(Quota quota, long now) {
    while (!waiting.isEmpty()) {
      waiting.removeFirst().then().accept(admit(quota, now));
    }
  }

  /** Decides what has waited for too long, by what the VM knows itself. */
  void decideOverdue(long now) {
    while (!waiting.isEmpty() && now - waiting.peekFirst().since() >= MOST_WAIT_MILLIS) {
      waiting.removeFirst().then().accept(refused(MOST_WAIT_MILLIS, now));
    }
  }

  private void expire(long now) {
    if (tokens > 0 && now >= tokensUntil) {
      tokens = 0;
      unreported = true;
    }
  }
}
