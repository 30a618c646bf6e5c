package org.sageladder.assembly;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.sageladder.scenario.Deployment;
import org.sageladder.scenario.Fleet.LogSource;
import org.sageladder.scenario.Scenario;
import org.sageladder.scenario.Scenario.Outcome;
import org.sageladder.scenario.Scenario.Strike;

/**
 * Simulates the deployments of users on the platform: the real entry VMs run against stand-ins of
 * the platform for thirty seconds of virtual time per user. Meanwhile an entry VM is killed,
 * targets are replaced, and the store stops responding.
 */
final class PlatformDays {
  private static final long SEED = 1;

  private static final List<Strike> TROUBLES =
      List.of(
          new Strike(8_000, "entry-killed"),
          new Strike(14_000, "targets-released"),
          new Strike(20_000, "store-silent"));

  private PlatformDays() {}

  /** Runs the simulations; returns true if no rule of the platform was violated. */
  static boolean run(PrintStream out) {
    Map<String, Deployment> deploymentsByUser = new LinkedHashMap<>();
    deploymentsByUser.put("kalnins-dauge", Deployment.stamps());
    deploymentsByUser.put("kannelkoda", Deployment.archive());
    boolean allKept = true;
    for (Map.Entry<String, Deployment> user : deploymentsByUser.entrySet()) {
      Outcome outcome = new Scenario(SEED, TROUBLES).run(user.getValue(), LogSource.none());
      out.printf(
          Locale.ROOT,
          "%n%s on the platform: %d requests, %.1f %% served, %.1f %% of the worth, %s%n",
          user.getKey(),
          outcome.day().requests().size(),
          100 * outcome.day().successFraction(0),
          100 * outcome.day().creditFraction(),
          outcome.violations().isEmpty() ? "no rule broken" : "RULES BROKEN");
      outcome.violations().forEach(line -> out.println("  " + line));
      allKept &= outcome.violations().isEmpty();
    }
    return allKept;
  }
}
