package org.sageladder.bench.targetrate;

import java.util.List;
import org.sageladder.core.placing.ColdTargetLimiter.EntryVmLocation;
import org.sageladder.core.placing.EntryVmRanking;
import org.sageladder.core.placing.RateLimitSignal;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetRateLimiter;

/** The product's policy: few entry VMs divide the rate, see {@link TargetRateLimiter}. */
final class FewSenders implements SendPolicy {
  private final TargetFacts target;
  private final EntryVmRanking ranking;
  private final TargetRateLimiter limiter;

  FewSenders(String self, TargetFacts target, java.util.Random random) {
    this.target = target;
    this.ranking = EntryVmRanking.of(self);
    this.limiter = TargetRateLimiter.of(ranking, random::nextDouble);
  }

  @Override
  public void onAnswer(double requestsPerSecond, long now) {
    RateLimitSignal signal =
        Double.isInfinite(requestsPerSecond)
            ? new RateLimitSignal.Unlimited()
            : new RateLimitSignal.Limited(requestsPerSecond);
    limiter.recordSignal(target, signal, now);
  }

  @Override
  public void onLiveVms(List<EntryVmLocation> live, long now) {
    ranking.update(live, now);
  }

  @Override
  public boolean trySend(long now) {
    if (!limiter.permits(target, now)) {
      return false;
    }
    limiter.recordSent(target, now);
    return true;
  }
}
