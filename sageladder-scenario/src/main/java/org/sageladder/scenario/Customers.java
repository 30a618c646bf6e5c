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
public final class Customers {
  /** Each so many requests one bears a key that no configuration ever held. */
  private static final int FORGED_EACH = 200;

  private static final String FORGED = "forged-key";

  /**
   * A workspace, its keys and its part of the requests.
   *
   * @param weight its part; only the ratio to the others has meaning
   */
  public record Customer(Workspace workspace, List<String> keys, double weight) {}

  private final Map<String, Customer> customers = new LinkedHashMap<>();
  private final Map<String, Set<String>> everHeld = new LinkedHashMap<>();

  Customers(List<Customer> first) {
    first.forEach(this::put);
  }

  private void put(Customer customer) {
    customers.put(customer.workspace().name(), customer);
    everHeld
        .computeIfAbsent(customer.workspace().name(), name -> new LinkedHashSet<>())
        .addAll(customer.keys());
  }

  /** The workspaces with their keys, as a configuration has them. */
  Map<Workspace, List<String>> configured() {
    Map<Workspace, List<String>> configured = new LinkedHashMap<>();
    customers.values().forEach(each -> configured.put(each.workspace(), each.keys()));
    return configured;
  }

  /** The workspaces that there are now. */
  public List<Customer> all() {
    return List.copyOf(customers.values());
  }

  /** Multiplies a workspace's part of the requests. */
  public void weigh(String name, double factor) {
    Customer of = customers.get(name);
    put(new Customer(of.workspace(), of.keys(), of.weight() * factor));
  }

  /** Takes one key away from a workspace; its callers go on bearing it. */
  public String takeKey(String name) {
    Customer of = customers.get(name);
    List<String> left = new ArrayList<>(of.keys());
    String taken = left.remove(0);
    put(new Customer(of.workspace(), left, of.weight()));
    return taken;
  }

  /** Gives a workspace another quota. */
  public void quota(String name, Quota quota) {
    Customer of = customers.get(name);
    Workspace before = of.workspace();
    Workspace after = new Workspace(name, before.priority(), quota, before.regions());
    put(new Customer(after, of.keys(), of.weight()));
  }

  /** The key of a request, drawn by the workspaces' parts; null where there are no workspaces. */
  Ledger.@Nullable Credential draw(Random random) {
    if (customers.isEmpty()) {
      return null;
    }
    if (random.nextInt(FORGED_EACH) == 0) {
      return new Ledger.Credential("", FORGED, false);
    }
    double sum = customers.values().stream().mapToDouble(Customer::weight).sum();
    double at = random.nextDouble() * sum;
    for (Customer each : customers.values()) {
      at -= each.weight();
      if (at <= 0) {
        return bearer(each, random);
      }
    }
    return bearer(customers.values().iterator().next(), random);
  }

  private Ledger.Credential bearer(Customer of, Random random) {
    List<String> keys = List.copyOf(everHeld.getOrDefault(of.workspace().name(), Set.of()));
    String key = keys.get(random.nextInt(keys.size()));
    return new Ledger.Credential(of.workspace().name(), key, true);
  }
}
