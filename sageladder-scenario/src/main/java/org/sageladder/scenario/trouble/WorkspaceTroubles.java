package org.sageladder.scenario.trouble;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.sageladder.core.routing.Quota;
import org.sageladder.core.routing.Workspace;
import org.sageladder.scenario.Fleet;
import org.sageladder.scenario.Tenants.Tenant;
import org.sageladder.standin.platform.Ledger.PlatformEvent;

/** Troubles of workspaces; they do nothing on a deployment without workspaces. */
final class WorkspaceTroubles {
  private static final double SURGE_RATE_FACTOR = 8;
  private static final long SURGE_MILLIS = 8_000;
  private static final double LOWERED_QUOTA_FRACTION = 0.5;

  private WorkspaceTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("workspace-hot", WorkspaceTroubles::surge);
    all.put("key-taken-away", WorkspaceTroubles::revokeKey);
    all.put("quota-lowered", WorkspaceTroubles::lowerQuota);
  }

  private static Tenant pick(Fleet fleet, Random random) {
    List<Tenant> all = fleet.tenants().all();
    return all.get(random.nextInt(all.size()));
  }

  /** One workspace sends many times its usual requests; the others send as many as before. */
  private static void surge(Fleet fleet, Random random) {
    if (fleet.tenants().all().isEmpty()) {
      return;
    }
    Tenant tenant = pick(fleet, random);
    double totalWeight = fleet.tenants().all().stream().mapToDouble(Tenant::weight).sum();
    double rateFactor = 1 + (SURGE_RATE_FACTOR - 1) * tenant.weight() / totalWeight;
    fleet.tenants().scaleWeight(tenant.workspace().name(), SURGE_RATE_FACTOR);
    fleet.callers().forEach(callers -> callers.setRateFactor(rateFactor));
    fleet.runAfter(
        SURGE_MILLIS,
        () -> {
          fleet.tenants().scaleWeight(tenant.workspace().name(), 1 / SURGE_RATE_FACTOR);
          fleet.callers().forEach(callers -> callers.setRateFactor(1));
        });
  }

  /** Revokes the first key of a workspace while requests with this key are in flight. */
  private static void revokeKey(Fleet fleet, Random random) {
    if (fleet.tenants().all().isEmpty()) {
      return;
    }
    String revoked = fleet.tenants().revokeFirstKey(pick(fleet, random).workspace().name());
    fleet.writeConfiguration(fleet.routes());
    fleet.day().ledger().recordEvent(PlatformEvent.Kind.KEY_TAKEN_AWAY, revoked, fleet.nowMillis());
  }

  /** Halves the quota of a workspace. */
  private static void lowerQuota(Fleet fleet, Random random) {
    if (fleet.tenants().all().isEmpty()) {
      return;
    }
    Workspace workspace = pick(fleet, random).workspace();
    Quota lowered =
        new Quota(
            LOWERED_QUOTA_FRACTION * workspace.quota().ratePerSecond(),
            LOWERED_QUOTA_FRACTION * workspace.quota().burst());
    fleet.tenants().changeQuota(workspace.name(), lowered);
    fleet.writeConfiguration(fleet.routes());
    fleet.tenants().all().forEach(each -> fleet.day().putWorkspace(each.workspace()));
    fleet
        .day()
        .ledger()
        .recordEvent(PlatformEvent.Kind.QUOTA_LOWERED, workspace.name(), fleet.nowMillis());
  }
}
