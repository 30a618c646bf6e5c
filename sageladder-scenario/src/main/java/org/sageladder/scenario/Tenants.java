package org.sageladder.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.routing.Quota;
import org.sageladder.core.routing.Workspace;
import org.sageladder.standin.platform.Ledger;

/** The workspaces of a deployment as they are now, and whose keys its callers bear. */
public final class Tenants {
  /** Each so many requests one bears a key that no configuration ever held. */
  private static final int FORGED_KEY_INTERVAL = 200;

  private static final String FORGED_KEY = "forged-key";

  /**
   * A workspace, its keys and its part of the requests.
   *
   * @param weight its part; only the ratio to the others has meaning
   */
  public record Tenant(Workspace workspace, List<String> keys, double weight) {}

  private final Map<String, Tenant> tenantsByWorkspace = new LinkedHashMap<>();
  private final Map<String, Set<String>> issuedKeys = new LinkedHashMap<>();

  Tenants(List<Tenant> initial) {
    initial.forEach(this::put);
  }

  private void put(Tenant tenant) {
    tenantsByWorkspace.put(tenant.workspace().name(), tenant);
    issuedKeys
        .computeIfAbsent(tenant.workspace().name(), name -> new LinkedHashSet<>())
        .addAll(tenant.keys());
  }

  /** The workspaces with their keys, as a configuration has them. */
  Map<Workspace, List<String>> keysByWorkspace() {
    Map<Workspace, List<String>> keys = new LinkedHashMap<>();
    tenantsByWorkspace.values().forEach(each -> keys.put(each.workspace(), each.keys()));
    return keys;
  }

  /** The workspaces that there are now. */
  public List<Tenant> all() {
    return List.copyOf(tenantsByWorkspace.values());
  }

  /** Multiplies a workspace's part of the requests. */
  public void scaleWeight(String name, double factor) {
    Tenant tenant = tenantsByWorkspace.get(name);
    put(new Tenant(tenant.workspace(), tenant.keys(), tenant.weight() * factor));
  }

  /** Takes one key away from a workspace; its callers go on bearing it. */
  public String revokeFirstKey(String name) {
    Tenant tenant = tenantsByWorkspace.get(name);
    List<String> remaining = new ArrayList<>(tenant.keys());
    String revoked = remaining.remove(0);
    put(new Tenant(tenant.workspace(), remaining, tenant.weight()));
    return revoked;
  }

  /** Gives a workspace another quota. */
  public void changeQuota(String name, Quota quota) {
    Tenant tenant = tenantsByWorkspace.get(name);
    Workspace before = tenant.workspace();
    Workspace after = new Workspace(name, before.priority(), quota, before.regions());
    put(new Tenant(after, tenant.keys(), tenant.weight()));
  }

  /** The key of a request, drawn by the workspaces' parts; null where there are no workspaces. */
  Ledger.@Nullable Credential drawBearer(Random random) {
    if (tenantsByWorkspace.isEmpty()) {
      return null;
    }
    if (random.nextInt(FORGED_KEY_INTERVAL) == 0) {
      return new Ledger.Credential("", FORGED_KEY, false);
    }
    double sum = tenantsByWorkspace.values().stream().mapToDouble(Tenant::weight).sum();
    double at = random.nextDouble() * sum;
    for (Tenant each : tenantsByWorkspace.values()) {
      at -= each.weight();
      if (at <= 0) {
        return bearerOf(each, random);
      }
    }
    return bearerOf(tenantsByWorkspace.values().iterator().next(), random);
  }

  private Ledger.Credential bearerOf(Tenant tenant, Random random) {
    List<String> keys = List.copyOf(issuedKeys.getOrDefault(tenant.workspace().name(), Set.of()));
    String key = keys.get(random.nextInt(keys.size()));
    return new Ledger.Credential(tenant.workspace().name(), key, true);
  }
}
