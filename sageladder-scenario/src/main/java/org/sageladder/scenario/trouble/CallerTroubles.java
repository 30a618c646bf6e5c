package org.sageladder.scenario.trouble;

import java.util.Map;
import java.util.Random;
import org.sageladder.scenario.Fleet;

/** Troubles that callers cause. */
final class CallerTroubles {
  private static final double BURST_RATE_FACTOR = 3;
  private static final long BURST_MILLIS = 4_000;
  private static final double DISCONNECTING_FRACTION = 0.33;
  private static final long DISCONNECT_AFTER_MILLIS = 150;
  private static final long DISCONNECTING_MILLIS = 5_000;

  private CallerTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("burst", CallerTroubles::burst);
    all.put("callers-leave", CallerTroubles::disconnectEarly);
  }

  private static void burst(Fleet fleet, Random random) {
    fleet.callers().forEach(callers -> callers.setRateFactor(BURST_RATE_FACTOR));
    fleet.runAfter(
        BURST_MILLIS, () -> fleet.callers().forEach(callers -> callers.setRateFactor(1)));
  }

  /** Some callers close their connection before they have received a response. */
  private static void disconnectEarly(Fleet fleet, Random random) {
    fleet
        .callers()
        .forEach(
            callers -> callers.setAbandonment(DISCONNECTING_FRACTION, DISCONNECT_AFTER_MILLIS));
    fleet.runAfter(
        DISCONNECTING_MILLIS,
        () -> fleet.callers().forEach(callers -> callers.setAbandonment(0, 0)));
  }
}
