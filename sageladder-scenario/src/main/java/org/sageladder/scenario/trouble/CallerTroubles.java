package org.sageladder.scenario.trouble;

import java.util.Map;
import java.util.Random;
import org.sageladder.scenario.Fleet;
import org.sageladder.standin.platform.CallersStandIn;

/** Troubles that callers cause. */
final class CallerTroubles {
  private static final double BURST_RATE_FACTOR = 3;
  private static final long BURST_MILLIS = 4_000;
  private static final double DISCONNECTING_FRACTION = 0.33;
  private static final long DISCONNECT_AFTER_MILLIS = 150;
  private static final long DISCONNECTING_MILLIS = 5_000;

  private static final int SEVERAL_CRASHING_REQUESTS = 4;
  private static final int MIN_PAUSE_MILLIS = 200;
  private static final int MAX_PAUSE_MILLIS = 1_500;
  private static final long CRASHING_MILLIS = 20_000;

  private CallerTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("burst", CallerTroubles::burst);
    all.put("callers-leave", CallerTroubles::disconnectEarly);
  }

  static void addCrashingTo(Map<String, Trouble> all) {
    all.put("request-crashes-targets", (fleet, random) -> crashTargets(fleet, random, 1));
    all.put(
        "requests-crash-targets",
        (fleet, random) -> crashTargets(fleet, random, SEVERAL_CRASHING_REQUESTS));
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

  /**
   * Requests crash the targets that run them. Their callers send them again, each from its own
   * address.
   */
  private static void crashTargets(Fleet fleet, Random random, int count) {
    for (int i = 0; i < count; i++) {
      sendCrashingRequest(fleet, random, "c" + i, Troubles.pickOne(fleet.callers(), random));
    }
  }

  private static void sendCrashingRequest(
      Fleet fleet, Random random, String object, CallersStandIn callers) {
    callers.sendCrashingRequest(
        Troubles.pickOne(fleet.deployment().requestProfiles(), random),
        object,
        Troubles.randomMillis(random, MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS),
        fleet.nowMillis() + CRASHING_MILLIS);
  }
}
