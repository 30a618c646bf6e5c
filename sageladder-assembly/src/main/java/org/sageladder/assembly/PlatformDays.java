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
import org.sageladder.scenario.Scenario.ScheduledTrouble;

/**
 * The way of a request on the users' platform, from the store and a look-up to a target and back:
 * the real entry VMs before stand-ins of the platform, thirty seconds of virtual time for each
 * user, with an entry VM killed, targets replaced and the store silent on the way.
 */
final class PlatformDays {
  private static final long SEED = 1;

  private static final List<ScheduledTrouble> TROUBLES =
      List.of(
          new ScheduledTrouble(8_000, "entry-killed"),
          new ScheduledTrouble(14_000, "targets-released"),
          new ScheduledTrouble(20_000, "store-silent"));

  private PlatformDays() {}

  /** Plays them; true where no rule of the platform broke. */
  static boolean run(PrintStream out) {
    Map<String, Deployment> users = new LinkedHashMap<>();
    users.put("kalnins-dauge", Deployment.stamps());
    users.put("kannelkoda", Deployment.archive());
    boolean kept = true;
    for (Map.Entry<String, Deployment> user : users.entrySet()) {
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
      kept &= outcome.violations().isEmpty();
    }
    return kept;
  }
}
