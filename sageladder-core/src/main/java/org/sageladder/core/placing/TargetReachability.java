package org.sageladder.core.placing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Whether this entry VM reaches the targets of a service, and targets at all.
 *
 * <p>A single target that accepts no connection has ended or is cut off alone. If several in a row
 * accept none and no other target answers in the meantime, the path from this VM is cut, or all of
 * these targets have ended; only another entry VM can tell which. Until one of them is reached
 * again, requests are better served there.
 *
 * <pre>{@code
 * if (reachability.recordUnreached(target, knownTargets, now)) { ... }
 * reachability.isLost("archive"); // true
 * }</pre>
 */
public final class TargetReachability {
  /** Fewer may have ended together by chance. */
  private static final int MIN_UNREACHED_TARGETS = 3;

  /** Failures further apart than this do not show a common cause. */
  private static final long MAX_FAILURE_AGE_MILLIS = 5_000;

  /**
   * For this long after a loss, targets may still count as unconfirmed and get few requests from
   * here.
   */
  private static final long SETTLING_MILLIS = 10_000;

  /** The targets of one service, or all targets. */
  private static final class Scope {
    private final Map<String, Long> unreachedAtMillis = new HashMap<>();
    private boolean isLost;
    private long regainedAtMillis = Long.MIN_VALUE;

    boolean recordUnreached(String target, int targetCount, long now) {
      unreachedAtMillis.values().removeIf(at -> now - at > MAX_FAILURE_AGE_MILLIS);
      unreachedAtMillis.put(target, now);
      boolean wasLost = isLost;
      isLost |= unreachedAtMillis.size() >= Math.min(MIN_UNREACHED_TARGETS, targetCount);
      return isLost && !wasLost;
    }

    boolean recordReached(long now) {
      unreachedAtMillis.clear();
      boolean wasLost = isLost;
      if (wasLost) {
        isLost = false;
        regainedAtMillis = now;
      }
      return wasLost;
    }

    boolean wasLostSince(long millis) {
      return isLost || (regainedAtMillis != Long.MIN_VALUE && regainedAtMillis >= millis);
    }
  }

  private final Scope all = new Scope();
  private final Map<String, Scope> byService = new HashMap<>();

  private TargetReachability() {}

  /** Creates the state of an entry VM that assumes it reaches all targets. */
  public static TargetReachability create() {
    return new TargetReachability();
  }

  /**
   * Records that a target accepted no connection.
   *
   * @param known all known targets
   * @return true if the targets of its service, or all, count as lost from now on
   */
  public boolean recordUnreached(TargetFacts target, TargetTable known, long now) {
    boolean isServiceLost =
        scope(target.service())
            .recordUnreached(target.id(), known.countOfService(target.service()), now);
    boolean areAllLost = all.recordUnreached(target.id(), known.size(), now);
    return isServiceLost || areAllLost;
  }

  /**
   * Records that a target accepted a connection or answered.
   *
   * @return true if this ends a loss
   */
  public boolean recordReached(TargetFacts target, long now) {
    boolean wasServiceLost = scope(target.service()).recordReached(now);
    return all.recordReached(now) || wasServiceLost;
  }

  private Scope scope(String service) {
    return byService.computeIfAbsent(service, name -> new Scope());
  }

  /** True if this VM reaches no target of the service, as far as it knows. */
  public boolean isLost(String service) {
    return all.isLost || scope(service).isLost;
  }

  /** True if this VM reaches no target of any service, as far as it knows. */
  public boolean areAllLost() {
    return all.isLost;
  }

  /** True if the targets of the service are lost or were so recently. */
  public boolean wasLostRecently(String service, long now) {
    long since = now - SETTLING_MILLIS;
    return all.wasLostSince(since) || scope(service).wasLostSince(since);
  }

  /** The services whose targets are lost while others are not. */
  public Set<String> lostServices() {
    Set<String> lost = new HashSet<>();
    byService.forEach(
        (service, scope) -> {
          if (scope.isLost) {
            lost.add(service);
          }
        });
    return lost;
  }

  /** Ends the loss of a service that has no targets any more. */
  public void forgetService(String service, long now) {
    scope(service).recordReached(now);
  }

  /** Ends the loss of all targets, since none is known any more. */
  public void forgetAll(long now) {
    all.recordReached(now);
  }
}
