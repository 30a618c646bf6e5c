package org.sageladder.scenario.trouble;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;
import org.sageladder.scenario.Fleet;
import org.sageladder.standin.platform.CallersStandIn;
import org.sageladder.standin.platform.RequestProfile;

/** Troubles that callers cause. */
final class CallerTroubles {
  private static final double BURST_RATE_FACTOR = 3;
  private static final long BURST_MILLIS = 4_000;
  private static final double DISCONNECTING_FRACTION = 0.33;
  private static final long DISCONNECT_AFTER_MILLIS = 150;
  private static final long DISCONNECTING_MILLIS = 5_000;

  private static final int CRASHING_REQUESTS = 4;
  private static final int MIN_PAUSE_MILLIS = 200;
  private static final int MAX_PAUSE_MILLIS = 1_500;
  private static final long CRASHING_MILLIS = 20_000;

  private CallerTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("burst", CallerTroubles::burst);
    all.put("callers-leave", CallerTroubles::disconnectEarly);
  }

  static void addCrashingTo(Map<String, Trouble> all) {
    all.put("request-crashes-targets", CallerTroubles::crashTargets);
    all.put("requests-crash-targets", CallerTroubles::crashTargetsTogether);
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

  /** A request crashes the targets that run it and is sent again, each time by another caller. */
  private static void crashTargets(Fleet fleet, Random random) {
    List<String> zones = List.copyOf(fleet.deployment().regionByZone().keySet());
    new CrashingRequest(fleet, random, "c", () -> fleet.addCallers(Troubles.pickOne(zones, random)))
        .send();
  }

  /** Several requests crash the targets that run them, each sent again by the same caller. */
  private static void crashTargetsTogether(Fleet fleet, Random random) {
    for (int i = 0; i < CRASHING_REQUESTS; i++) {
      CallersStandIn callers = Troubles.pickOne(fleet.callers(), random);
      new CrashingRequest(fleet, random, "c" + i, () -> callers).send();
    }
  }

  /** A request that its callers send again after a pause, whatever its outcome. */
  private static final class CrashingRequest {
    private final Fleet fleet;
    private final String object;
    private final Supplier<CallersStandIn> callers;
    private final RequestProfile profile;
    private final long pauseMillis;
    private final long endMillis;

    CrashingRequest(Fleet fleet, Random random, String object, Supplier<CallersStandIn> callers) {
      this.fleet = fleet;
      this.object = object;
      this.callers = callers;
      this.pauseMillis = Troubles.randomMillis(random, MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
      this.profile = Troubles.pickOne(fleet.deployment().requestProfiles(), random);
      this.endMillis = fleet.nowMillis() + CRASHING_MILLIS;
    }

    void send() {
      if (fleet.nowMillis() < endMillis) {
        callers
            .get()
            .sendCrashingRequest(profile, object, () -> fleet.runAfter(pauseMillis, this::send));
      }
    }
  }
}
