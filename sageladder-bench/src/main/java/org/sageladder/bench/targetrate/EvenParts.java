package org.sageladder.bench.targetrate;

import java.util.List;
import org.sageladder.core.placing.ColdTargetLimiter.EntryVmLocation;

/** The baseline: each live entry VM has an equal part of the rate, as a bucket of one token. */
final class EvenParts implements SendPolicy {
  private double requestsPerSecond = Double.POSITIVE_INFINITY;
  private int vmCount = 1;
  private double tokens;
  private long refilledAtMillis;

  @Override
  public void onAnswer(double newRequestsPerSecond, long now) {
    if (Double.isInfinite(requestsPerSecond)) {
      tokens = 0;
      refilledAtMillis = now;
    }
    requestsPerSecond = newRequestsPerSecond;
  }

  @Override
  public void onLiveVms(List<EntryVmLocation> live, long now) {
    vmCount = Math.max(1, live.size());
  }

  @Override
  public boolean trySend(long now) {
    if (Double.isInfinite(requestsPerSecond)) {
      return true;
    }
    double rate = requestsPerSecond / vmCount;
    tokens = Math.min(1, tokens + rate * (now - refilledAtMillis) / 1_000);
    refilledAtMillis = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
