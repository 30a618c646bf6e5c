package org.sageladder.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.core.quota.QuotaMessage.TokenGrant;
import org.sageladder.core.quota.QuotaMessage.UsageReport;

class WorkspaceRateLimiterTest {
  private static final long NOW_MILLIS = 1_000;

  /** Callers of a VM whose coordinator never changed were asked to stay away without end. */
  @Test
  void refusedRequestsReturnWhenTheCoordinatorSaysSo() {
    WorkspaceRateLimiter limiter = new WorkspaceRateLimiter("choir", QuotaTolerance.exact());
    List<QuotaDecision> decisions = new ArrayList<>();
    limiter.enqueue(decisions::add, NOW_MILLIS);
    UsageReport report = limiter.createReport(NOW_MILLIS);
    limiter.applyGrant(
        new TokenGrant("choir", report.reportNumber(), true, 0, 250), true, NOW_MILLIS);
    assertEquals(250, ((QuotaDecision.Refused) decisions.get(0)).retryAfterMillis());
  }
}
