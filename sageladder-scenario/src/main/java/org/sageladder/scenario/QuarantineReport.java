package org.sageladder.scenario;

import java.io.PrintStream;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.sageladder.standin.platform.Ledger;

/**
 * The targets that requests crashed on a simulated day, and the requests refused as quarantined.
 *
 * @param crashesByPath number of targets crashed, by the path of the request
 * @param refusedCrashing attempts refused of these requests
 * @param refusedOthers attempts refused of all others, which never crashed a target
 */
record QuarantineReport(
    Map<String, Integer> crashesByPath, int refusedCrashing, int refusedOthers) {
  static QuarantineReport of(SimulatedDay day) {
    Ledger ledger = day.ledger();
    Map<String, Integer> crashesByPath = new TreeMap<>();
    for (Ledger.Crash crash : ledger.crashes()) {
      crashesByPath.merge(pathOf(ledger, crash.requestId()), 1, Integer::sum);
    }
    Set<String> crashingPaths = new HashSet<>(crashesByPath.keySet());
    int refusedCrashing =
        (int)
            ledger.quarantined().stream()
                .filter(id -> crashingPaths.contains(pathOf(ledger, id)))
                .count();
    return new QuarantineReport(
        crashesByPath, refusedCrashing, ledger.quarantined().size() - refusedCrashing);
  }

  private static String pathOf(Ledger ledger, String requestId) {
    return ledger.attempt(requestId).map(Ledger.Attempt::path).orElse("");
  }

  /** Prints one line, or none on a day on which nothing was refused as quarantined. */
  void print(PrintStream out) {
    if (!crashesByPath.isEmpty() || refusedOthers > 0) {
      out.println(
          "  targets crashed by requests "
              + crashesByPath
              + ", refused as quarantined: "
              + refusedCrashing
              + " of these, "
              + refusedOthers
              + " of others");
    }
  }
}
