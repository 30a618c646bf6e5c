package org.sageladder.core.placing;

import java.util.Map;
import java.util.function.DoubleSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Limits the requests that all entry VMs together send to a target that states a request rate in
 * its answers, without communication between them.
 *
 * <p>The first few entry VMs of the target's {@link EntryVmRanking} each get an equal part of the
 * rate, as a token bucket that starts empty. The others send nothing but a rare request that shows
 * whether the limit is still in force. Equal parts for all VMs would exceed a low rate: after a
 * pause each of them holds a token, and all may use it at once.
 *
 * <p>A limit belongs to one incarnation of a target and is in force until an answer states another
 * one or none. Then the permitted rate grows step by step, since otherwise the load of all entry
 * VMs would return at the same moment.
 *
 * <pre>{@code
 * limiter.recordSignal(target, new RateLimitSignal.Limited(1.4), now);
 * if (limiter.permits(target, now)) {
 *   limiter.recordSent(target, now);
 * }
 * }</pre>
 */
public final class TargetRateLimiter {
  /** The effect of a signal on the limit in force. */
  public enum Change {
    /** The limit in force is unchanged. */
    NONE,
    /** A limit is in force where none was before. */
    LIMITED,
    /** The limit in force has another value. */
    CHANGED,
    /** The limit is no longer in force. */
    WITHDRAWN,
    /** The signal cannot be read and was ignored. */
    MALFORMED
  }

  /** Entry VMs that may send to a limited target, beside one for each request per second. */
  private static final int MIN_SENDERS = 3;

  /** Requests that an entry VM may send at once, as a time at its part of the rate. */
  private static final double BURST_SECONDS = 0.25;

  /** Requests per second with which all other VMs together check a limit, as a fraction of it. */
  private static final double CHECK_FRACTION = 1.0 / 8;

  /** The same for a limit of nearly zero, so that its end is noticed at all. */
  private static final double MIN_CHECKS_PER_SECOND = 1.0 / 12;

  /**
   * Time within which a check that is due may be made. One that could be made later would be due at
   * all VMs when requests come after a pause.
   */
  private static final long CHECK_VALIDITY_MILLIS = 2_000;

  /** Bound on the time until a request is permitted, for a VM that may send none. */
  private static final long MAX_DELAY_MILLIS = 60_000;

  /** Time after the end of a limit until any rate is permitted; the rate doubles each second. */
  private static final long RAMP_MILLIS = 4_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Number of incarnations whose limits are kept. A limit outlives the target's registration, which
   * may lapse and come back while the target goes on serving.
   */
  private static final int MAX_TARGETS = 10_000;

  private static final class Limit {
    final TargetFacts target;
    double requestsPerSecond;
    double tokens;
    long refilledAtMillis;
    long nextCheckAtMillis;
    boolean isWithdrawn;
    long withdrawnAtMillis;

    Limit(TargetFacts target, double requestsPerSecond, long now) {
      this.target = target;
      this.requestsPerSecond = requestsPerSecond;
      this.refilledAtMillis = now;
    }
  }

  private final EntryVmRanking entryVms;
  private final DoubleSupplier random;
  private final Map<TargetIncarnation, Limit> limits = new BoundedMap<>(MAX_TARGETS);

  private TargetRateLimiter(EntryVmRanking entryVms, DoubleSupplier random) {
    this.entryVms = entryVms;
    this.random = random;
  }

  /**
   * Creates a limiter without limits.
   *
   * @param entryVms the entry VMs among which each limit is divided
   * @param random returns numbers from 0 to 1 that spread the checks of this VM in time
   */
  public static TargetRateLimiter of(EntryVmRanking entryVms, DoubleSupplier random) {
    return new TargetRateLimiter(entryVms, random);
  }

  /** Applies what an answer of the target states. */
  public Change recordSignal(TargetFacts target, RateLimitSignal signal, long now) {
    if (signal instanceof RateLimitSignal.Malformed) {
      return Change.MALFORMED;
    }
    Limit limit = limits.get(target.incarnation());
    if (signal instanceof RateLimitSignal.Limited limited) {
      return applyLimit(target, limit, limited.requestsPerSecond(), now);
    }
    if (limit == null || limit.isWithdrawn) {
      return Change.NONE;
    }
    refill(limit, now);
    limit.isWithdrawn = true;
    limit.withdrawnAtMillis = now;
    return Change.WITHDRAWN;
  }

  private Change applyLimit(TargetFacts target, @Nullable Limit current, double rate, long now) {
    if (current == null || current.isWithdrawn) {
      Limit limit = new Limit(target, rate, now);
      limits.put(target.incarnation(), limit);
      scheduleCheck(limit, now);
      return Change.LIMITED;
    }
    scheduleCheck(current, now);
    if (current.requestsPerSecond == rate) {
      return Change.NONE;
    }
    refill(current, now);
    current.requestsPerSecond = rate;
    return Change.CHANGED;
  }

  /** Returns true if this entry VM may send one more request to the target now. */
  public boolean permits(TargetFacts target, long now) {
    return permittedInMillis(target, now) == 0;
  }

  /** Returns the time until this entry VM may send one more request to the target; 0 if now. */
  public long permittedInMillis(TargetFacts target, long now) {
    Limit limit = limits.get(target.incarnation());
    if (limit == null) {
      return 0;
    }
    if (limit.isWithdrawn && now - limit.withdrawnAtMillis >= RAMP_MILLIS) {
      limits.remove(target.incarnation());
      return 0;
    }
    refill(limit, now);
    if (limit.tokens >= 1) {
      return 0;
    }
    double rate = ownRate(limit, now);
    double tokenMillis = (1 - limit.tokens) / rate * MILLIS_PER_SECOND;
    double delayMillis = Math.min(tokenMillis, checkDueInMillis(limit, now));
    return (long) Math.ceil(Math.min(delayMillis, MAX_DELAY_MILLIS));
  }

  /** Returns the time until this VM may check the limit, infinite if it has a part of it. */
  private double checkDueInMillis(Limit limit, long now) {
    if (entryVms.size() == 0 || isSender(limit)) {
      return Double.POSITIVE_INFINITY;
    }
    if (now >= limit.nextCheckAtMillis + CHECK_VALIDITY_MILLIS) {
      scheduleCheck(limit, now);
    }
    return Math.max(0, limit.nextCheckAtMillis - now);
  }

  /** Records a request sent to the target. */
  public void recordSent(TargetFacts target, long now) {
    Limit limit = limits.get(target.incarnation());
    if (limit == null) {
      return;
    }
    refill(limit, now);
    limit.tokens = Math.max(0, limit.tokens - 1);
    scheduleCheck(limit, now);
  }

  private int senderCount(Limit limit) {
    double count = MIN_SENDERS + Math.floor(limit.requestsPerSecond);
    return (int) Math.min(entryVms.size(), count);
  }

  private boolean isSender(Limit limit) {
    return entryVms.ownRank(limit.target) < senderCount(limit);
  }

  /** Returns the requests per second that this VM may send. */
  private double ownRate(Limit limit, long now) {
    int senderCount = senderCount(limit);
    double part = senderCount == 0 ? 0 : limit.requestsPerSecond / senderCount;
    if (!limit.isWithdrawn) {
      return isSender(limit) ? part : 0;
    }
    double secondsSince = (now - limit.withdrawnAtMillis) / MILLIS_PER_SECOND;
    return Math.max(part, MIN_CHECKS_PER_SECOND) * Math.pow(2, secondsSince);
  }

  private void refill(Limit limit, long now) {
    double rate = ownRate(limit, now);
    double capacity = Math.max(1, BURST_SECONDS * rate);
    double added = rate * (now - limit.refilledAtMillis) / MILLIS_PER_SECOND;
    limit.tokens = Math.min(capacity, limit.tokens + added);
    limit.refilledAtMillis = now;
  }

  /** Spreads the checks, since all VMs that are told at the same time would check at once. */
  private void scheduleCheck(Limit limit, long now) {
    double checksPerSecond =
        Math.max(CHECK_FRACTION * limit.requestsPerSecond, MIN_CHECKS_PER_SECOND);
    double meanMillis = entryVms.size() / checksPerSecond * MILLIS_PER_SECOND;
    limit.nextCheckAtMillis = now + Math.round(meanMillis * (0.5 + random.getAsDouble()));
  }
}
