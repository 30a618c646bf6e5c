package org.sageladder.scenario.trouble;

import java.util.Map;
import java.util.Random;
import org.sageladder.scenario.Fleet;
import org.sageladder.scenario.FleetTarget;
import org.sageladder.standin.platform.StoreFaultMode;

/** Troubles of targets that state in their answers what they accept. */
final class SignalTroubles {
  private static final double LIMITED_FRACTION = 0.2;
  private static final double MIN_RATE_PER_SECOND = 0.3;
  private static final double MAX_RATE_PER_SECOND = 3;
  private static final long CHANGE_MILLIS = 6_000;
  private static final double DRAINING_FRACTION = 0.15;
  private static final long DRAIN_DELAY_MILLIS = 500;
  private static final long STORE_SILENCE_MILLIS = 12_000;
  private static final double BACKED_OFF_FRACTION = 0.2;
  private static final int MAX_BACK_OFF_SECONDS = 4;
  private static final long REFUSAL_MILLIS = 8_000;

  private SignalTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("targets-limited", SignalTroubles::limitRates);
    all.put("targets-drain-without-store", SignalTroubles::drainWithoutStore);
    all.put("targets-back-off", SignalTroubles::backOff);
  }

  /** Targets state a rate, then another one, then none, then one again. */
  private static void limitRates(Fleet fleet, Random random) {
    for (FleetTarget target : TargetTroubles.pick(fleet, random, LIMITED_FRACTION)) {
      double first = drawRate(random);
      double second = drawRate(random);
      target.process().setRateLimit(first);
      fleet.runAfter(CHANGE_MILLIS, () -> target.process().setRateLimit(second));
      fleet.runAfter(
          2 * CHANGE_MILLIS, () -> target.process().setRateLimit(Double.POSITIVE_INFINITY));
      fleet.runAfter(3 * CHANGE_MILLIS, () -> target.process().setRateLimit(first));
    }
  }

  /** The store is silent while targets drain, so that only their answers say so. */
  private static void drainWithoutStore(Fleet fleet, Random random) {
    Troubles.recordAtAll(fleet, STORE_SILENCE_MILLIS);
    fleet.storePort().setFault(StoreFaultMode.SILENT, caller -> true);
    fleet.runAfter(
        STORE_SILENCE_MILLIS,
        () -> {
          fleet.store().renewAllLeases();
          fleet.storePort().clearFault();
        });
    for (FleetTarget target : TargetTroubles.pick(fleet, random, DRAINING_FRACTION)) {
      fleet.runAfter(DRAIN_DELAY_MILLIS, target.process()::startDraining);
      fleet.runAfter(STORE_SILENCE_MILLIS, () -> target.leave(true));
    }
  }

  /** Targets refuse all requests for a while and ask each sender for none for some seconds. */
  private static void backOff(Fleet fleet, Random random) {
    for (FleetTarget target : TargetTroubles.pick(fleet, random, BACKED_OFF_FRACTION)) {
      target.process().setBackOff(1_000L * (1 + random.nextInt(MAX_BACK_OFF_SECONDS)));
      fleet.runAfter(REFUSAL_MILLIS, () -> target.process().setBackOff(0));
    }
  }

  private static double drawRate(Random random) {
    return MIN_RATE_PER_SECOND + (MAX_RATE_PER_SECOND - MIN_RATE_PER_SECOND) * random.nextDouble();
  }
}
