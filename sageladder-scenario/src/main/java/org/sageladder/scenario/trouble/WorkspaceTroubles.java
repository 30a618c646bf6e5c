package org.sageladder.scenario.trouble;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.sageladder.core.routing.Quota;
import org.sageladder.core.routing.Workspace;
import org.sageladder.scenario.Customers.Customer;
import org.sageladder.scenario.Fleet;
import org.sageladder.standin.platform.Ledger.PlatformEvent;

/** What becomes of workspaces in a day; nothing where a deployment has none. */
final class WorkspaceTroubles {
  private static final double HOT = 8;
  private static final long HOT_MILLIS = 8_000;
  private static final double LOWERED = 0.5;

  private WorkspaceTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("workspace-hot", WorkspaceTroubles::hot);
    all.put("key-taken-away", WorkspaceTroubles::takeKey);
    all.put("quota-lowered", WorkspaceTroubles::lowerQuota);
  }

  private static Customer pick(Fleet fleet, Random random) {
    List<Customer> all = fleet.customers().all();
    return all.get(random.nextInt(all.size()));
  }

  /** One workspace sends many times its usual requests, on top of all others'. */
  private static void hot(Fleet fleet, Random random) {
    if (fleet.customers().all().isEmpty()) {
      return;
    }
    Customer of = pick(fleet, random);
    double sum = fleet.customers().all().stream().mapToDouble(Customer::weight).sum();
    double pace = 1 + (HOT - 1) * of.weight() / sum;
    fleet.customers().weigh(of.workspace().name(), HOT);
    fleet.callers().forEach(callers -> callers.setRateFactor(pace));
    fleet.after(
        HOT_MILLIS,
        () -> {
          fleet.customers().weigh(of.workspace().name(), 1 / HOT);
          fleet.callers().forEach(callers -> callers.setRateFactor(1));
        });
  }

  /** A workspace's first key is taken away; requests that bear it are under way. */
  private static void takeKey(Fleet fleet, Random random) {
    if (fleet.customers().all().isEmpty()) {
      return;
    }
    String taken = fleet.customers().takeKey(pick(fleet, random).workspace().name());
    fleet.configure(fleet.routes());
    fleet.day().ledger().recordEvent(PlatformEvent.Kind.KEY_TAKEN_AWAY, taken, fleet.now());
  }

  /** A workspace's quota is halved. */
  private static void lowerQuota(Fleet fleet, Random random) {
    if (fleet.customers().all().isEmpty()) {
      return;
    }
    Workspace of = pick(fleet, random).workspace();
    Quota lower = new Quota(LOWERED * of.quota().ratePerSecond(), LOWERED * of.quota().burst());
    fleet.customers().quota(of.name(), lower);
    fleet.configure(fleet.routes());
    fleet.customers().all().forEach(each -> fleet.day().hold(each.workspace()));
    fleet.day().ledger().recordEvent(PlatformEvent.Kind.QUOTA_LOWERED, of.name(), fleet.now());
  }
}
