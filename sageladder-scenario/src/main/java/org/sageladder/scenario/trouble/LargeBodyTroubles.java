package org.sageladder.scenario.trouble;

import java.util.Map;
import java.util.Random;
import org.sageladder.scenario.Fleet;

/** Requests with large bodies that entry VMs pass on, while their rules differ for moments. */
final class LargeBodyTroubles {
  private static final int MIN_BODY_BYTES = 70_000;
  private static final int MAX_BODY_BYTES = 300_000;
  private static final long TROUBLE_MILLIS = 16_000;
  private static final long CONFIGURATION_INTERVAL_MILLIS = 250;

  private LargeBodyTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("large-bodies-silent", (fleet, random) -> inject(fleet, random, "targets-cut-third"));
    all.put(
        "large-bodies-refused", (fleet, random) -> inject(fleet, random, "targets-cut-refused"));
  }

  /** A third of the VMs reach no target, and configurations come in quick succession. */
  private static void inject(Fleet fleet, Random random, String cut) {
    fleet
        .callers()
        .forEach(
            callers ->
                callers.setBodyBytes(
                    MIN_BODY_BYTES + random.nextInt(MAX_BODY_BYTES - MIN_BODY_BYTES)));
    for (long at = 0; at < TROUBLE_MILLIS; at += CONFIGURATION_INTERVAL_MILLIS) {
      fleet.runAfter(at, () -> fleet.writeConfiguration(fleet.routes()));
    }
    Troubles.targetCuts().get(cut).inject(fleet, random);
  }
}
