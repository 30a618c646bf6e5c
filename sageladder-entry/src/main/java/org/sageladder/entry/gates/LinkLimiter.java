package org.sageladder.entry.gates;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.RequestClass;
import org.sageladder.core.limits.LinkRateLimiter;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.core.time.TimeSource;

/**
 * Limits requests from other regions to this entry VM's shares of the links that end in its region.
 *
 * <p>Each zone of the region gets an equal share of a link limit, and each entry VM a part of its
 * zone's share in proportion to the slots that it holds, over all services. This needs no
 * communication between the zones of a region, and since each slot has one holder, the shares never
 * add up to more than the limit.
 */
public final class LinkLimiter {
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);

  private final String vm;
  private final String zone;
  private final TimeSource time;
  private final Map<String, LinkRateLimiter> limitersByRegion = new ConcurrentHashMap<>();
  private volatile String region = "";

  LinkLimiter(String vm, String zone, TimeSource time) {
    this.vm = vm;
    this.zone = zone;
    this.time = time;
  }

  void applyView(Contract contract, ZoneView view) {
    Contract.Region own = contract.regionOfZone(zone).orElse(null);
    if (own == null) {
      return;
    }
    region = own.name();
    double ownFraction = ownSlotFraction(view) / own.zones().size();
    long now = time.nanos();
    for (Contract.LinkLimit limit : contract.linkLimits()) {
      if (limit.to().equals(region)) {
        double requestsPerSecond = ownFraction * limit.requestsPerSecond();
        limitersByRegion
            .computeIfAbsent(limit.from(), from -> LinkRateLimiter.of(requestsPerSecond, now))
            .updateRate(requestsPerSecond, now);
      }
    }
    limitersByRegion.keySet().removeIf(from -> !isLimited(contract, from));
  }

  private boolean isLimited(Contract contract, String from) {
    return contract.linkLimits().stream()
        .anyMatch(limit -> limit.from().equals(from) && limit.to().equals(region));
  }

  private double ownSlotFraction(ZoneView view) {
    double own = 0;
    double all = 0;
    for (Holding holding : view.holdings()) {
      all += holding.slots();
      own += holding.holder().equals(vm) ? holding.slots() : 0;
    }
    return all == 0 ? 0 : own / all;
  }

  /**
   * Counts a request that came over a link, or returns the refusal if the share of the link is used
   * up.
   *
   * @param fromRegion region of the caller, or of the entry VM that forwarded the request; empty if
   *     not known, and then no limit applies
   */
  public Optional<Result.NotRun> admitOrRefuse(String fromRegion, RequestClass requestClass) {
    LinkRateLimiter limiter = fromRegion.equals(region) ? null : limitersByRegion.get(fromRegion);
    long now = time.nanos();
    if (limiter == null || limiter.tryAcquire(requestClass, now)) {
      return Optional.empty();
    }
    Duration retryAfter = limiter.retryAfter(requestClass, now);
    return Optional.of(
        new Result.NotRun(
            ResultCode.LINK_LIMIT,
            retryAfter.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : retryAfter,
            "the limit of the link from "
                + fromRegion
                + " to "
                + region
                + " is reached for class "
                + requestClass));
  }
}
