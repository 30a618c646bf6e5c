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

/** The current tenants of a deployment, and the API keys that its callers send. */
public final class Tenants {
  /** One in this many requests carries a key that no configuration ever contained. */
  private static final int FORGED_KEY_INTERVAL = 200;

  private static final String FORGED_KEY = "forged-key";

  /**
   * A workspace, its API keys and its share of the requests.
   *
   * @param weight relative share of the requests; only the ratio to the other weights matters
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

  /** The API keys of each workspace, as written to a configuration. */
  Map<Workspace, List<String>> keysByWorkspace() {
    Map<Workspace, List<String>> keys = new LinkedHashMap<>();
    tenantsByWorkspace.values().forEach(each -> keys.put(each.workspace(), each.keys()));
    return keys;
  }

  /** The current tenants. */
  public List<Tenant> all() {
    return List.copyOf(tenantsByWorkspace.values());
  }

  /** Multiplies a workspace's share of the requests by {@code factor}. */
  public void scaleWeight(String name, double factor) {
    Tenant tenant = tenantsByWorkspace.get(name);
    put(new Tenant(tenant.workspace(), tenant.keys(), tenant.weight() * factor));
  }

  /** Revokes the first key of a workspace and returns it; its callers go on sending it. */
  public String revokeFirstKey(String name) {
    Tenant tenant = tenantsByWorkspace.get(name);
    List<String> remaining = new ArrayList<>(tenant.keys());
    String revoked = remaining.remove(0);
    put(new Tenant(tenant.workspace(), remaining, tenant.weight()));
    return revoked;
  }

  /** Changes the quota of a workspace. */
  public void changeQuota(String name, Quota quota) {
    Tenant tenant = tenantsByWorkspace.get(name);
    Workspace before = tenant.workspace();
    Workspace after = new Workspace(name, before.priority(), quota, before.regions());
    put(new Tenant(after, tenant.keys(), tenant.weight()));
  }

  /**
   * Chooses the key of a request at random, weighted by the tenants' shares; null if there are no
   * tenants.
   */
  Ledger.@Nullable Credential drawCredential(Random random) {
    if (tenantsByWorkspace.isEmpty()) {
      return null;
    }
    if (random.nextInt(FORGED_KEY_INTERVAL) == 0) {
      return new Ledger.Credential("", FORGED_KEY, false);
    }
    double totalWeight = tenantsByWorkspace.values().stream().mapToDouble(Tenant::weight).sum();
    double remainingWeight = random.nextDouble() * totalWeight;
    for (Tenant each : tenantsByWorkspace.values()) {
      remainingWeight -= each.weight();
      if (remainingWeight <= 0) {
        return drawCredentialOf(each, random);
      }
    }
    return drawCredentialOf(tenantsByWorkspace.values().iterator().next(), random);
  }

  private Ledger.Credential drawCredentialOf(Tenant tenant, Random random) {
    List<String> keys = List.copyOf(issuedKeys.getOrDefault(tenant.workspace().name(), Set.of()));
    String key = keys.get(random.nextInt(keys.size()));
    return new Ledger.Credential(tenant.workspace().name(), key, true);
  }
}
