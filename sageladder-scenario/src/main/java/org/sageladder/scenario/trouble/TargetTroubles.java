package org.sageladder.scenario.trouble;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.sageladder.scenario.Fleet;
import org.sageladder.scenario.FleetTarget;
import org.sageladder.standin.network.SimulatedHost;
import org.sageladder.standin.network.SimulatedNetwork.Partition;
import org.sageladder.standin.platform.TargetStandIn.Fault;

/** Troubles of targets. */
final class TargetTroubles {
  private static final double CRASH_FRACTION = 0.1;
  private static final double SLOW_FRACTION = 0.15;
  private static final double COLD_FRACTION = 0.2;
  private static final double REPLACED_FRACTION = 0.3;
  private static final double ADDED_FRACTION = 0.1;
  private static final double FAULTY_FRACTION = 0.5;
  private static final double FAULTY_RESPONSE_FRACTION = 0.05;
  private static final double FREQUENT_FAULT_FRACTION = 0.3;
  private static final long FREQUENT_FAULT_MILLIS = 12_000;
  private static final double SLOWDOWN_FACTOR = 4;
  private static final long TROUBLE_MILLIS = 6_000;
  private static final long REPLACEMENT_GAP_MILLIS = 700;
  private static final int REMOVED_COUNT = 3;

  private TargetTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("targets-crash", TargetTroubles::crash);
    all.put("targets-slow", TargetTroubles::slow);
    all.put("targets-cold", TargetTroubles::turnCold);
    all.put("targets-released", TargetTroubles::replaceTargets);
    all.put("targets-removed", (fleet, random) -> leave(fleet, random, REMOVED_COUNT, false));
    all.put("targets-added", TargetTroubles::addTargets);
    all.put("answers-lost", (fleet, random) -> injectFault(fleet, random, Fault.LOSES_ANSWER));
    all.put("answers-cut", (fleet, random) -> injectFault(fleet, random, Fault.CUTS_ANSWER));
    all.put("answers-spoilt", (fleet, random) -> injectFault(fleet, random, Fault.SPOILS_ANSWER));
    all.put("answers-twice", (fleet, random) -> injectFault(fleet, random, Fault.ANSWERS_TWICE));
    all.put("answers-unframed", (fleet, random) -> injectFault(fleet, random, Fault.UNFRAMED));
    all.put("answers-fail", (fleet, random) -> injectFault(fleet, random, Fault.FAILS));
    all.put("targets-start-again", TargetTroubles::restartBehindCut);
  }

  /** Adds troubles of bytes that belong to no request, and of heads that break off. */
  static void addUnsolicitedTo(Map<String, Trouble> all) {
    all.put("answers-cut-in-head", frequentFault(Fault.CUTS_HEAD));
    all.put("answers-twice-late", frequentFault(Fault.ANSWERS_TWICE_LATE));
    all.put("answers-twice-in-pieces", frequentFault(Fault.ANSWERS_TWICE_IN_PIECES));
    all.put("answers-twice-cut", frequentFault(Fault.ANSWERS_TWICE_CUT));
    all.put("answers-twice-spoilt", frequentFault(Fault.ANSWERS_TWICE_SPOILT));
    all.put("answers-twice-without-id", frequentFault(Fault.ANSWERS_TWICE_WITHOUT_ID));
    all.put("answers-and-bytes", frequentFault(Fault.ADDS_BYTES));
  }

  /** Troubles of whole answers with a malformed head. */
  static void addMalformedTo(Map<String, Trouble> all) {
    all.put("answers-with-invalid-status", frequentFault(Fault.INVALID_STATUS));
    all.put("answers-with-invalid-header", frequentFault(Fault.INVALID_HEADER));
  }

  private static Trouble frequentFault(Fault fault) {
    return (fleet, random) ->
        injectFault(fleet, random, fault, FREQUENT_FAULT_FRACTION, FREQUENT_FAULT_MILLIS);
  }

  /** Returns {@code fraction} of the running targets, chosen at random. */
  static List<FleetTarget> pick(Fleet fleet, Random random, double fraction) {
    List<FleetTarget> all = new ArrayList<>(fleet.runningTargets());
    Collections.shuffle(all, random);
    return all.subList(0, (int) Math.ceil(fraction * all.size()));
  }

  private static void crash(Fleet fleet, Random random) {
    for (FleetTarget target : pick(fleet, random, CRASH_FRACTION)) {
      target.crash(Troubles.randomMillis(random, 1_000, 6_000));
    }
  }

  /** Cuts off targets, which crash meanwhile and restart with the same ids before the cut ends. */
  private static void restartBehindCut(Fleet fleet, Random random) {
    List<FleetTarget> affected = pick(fleet, random, CRASH_FRACTION);
    Set<SimulatedHost> hosts = affected.stream().map(FleetTarget::host).collect(Collectors.toSet());
    long millis = Troubles.randomMillis(random, 1_500, 6_000);
    Partition cut =
        fleet.network().partition((from, to) -> hosts.contains(from) || hosts.contains(to));
    fleet.runAfter(
        millis / 2, () -> affected.forEach(target -> target.crashAndRestartWithSameId(millis / 4)));
    fleet.runAfter(millis, cut::close);
  }

  private static void slow(Fleet fleet, Random random) {
    List<FleetTarget> slow = pick(fleet, random, SLOW_FRACTION);
    slow.forEach(target -> target.process().setServiceTimeFactor(SLOWDOWN_FACTOR));
    fleet.runAfter(
        TROUBLE_MILLIS, () -> slow.forEach(target -> target.process().setServiceTimeFactor(1)));
  }

  private static void turnCold(Fleet fleet, Random random) {
    pick(fleet, random, COLD_FRACTION).forEach(target -> target.process().becomeCold());
  }

  /** Replaces targets one after the other; each replacement is added before its target leaves. */
  private static void replaceTargets(Fleet fleet, Random random) {
    long atMillis = 0;
    for (FleetTarget target : pick(fleet, random, REPLACED_FRACTION)) {
      fleet.runAfter(
          atMillis,
          () -> {
            fleet.addColdTarget(target.service(), target.host().zone());
            target.leave(true);
          });
      atMillis += REPLACEMENT_GAP_MILLIS;
    }
  }

  /** Targets leave; if {@code isAnnounced} is false, their entries are simply removed. */
  static void leave(Fleet fleet, Random random, int count, boolean isAnnounced) {
    List<FleetTarget> all = pick(fleet, random, 1);
    all.subList(0, Math.min(count, all.size())).forEach(target -> target.leave(isAnnounced));
  }

  private static void addTargets(Fleet fleet, Random random) {
    for (FleetTarget neighbour : pick(fleet, random, ADDED_FRACTION)) {
      fleet.addColdTarget(neighbour.service(), neighbour.host().zone());
    }
  }

  private static void injectFault(Fleet fleet, Random random, Fault fault) {
    injectFault(fleet, random, fault, FAULTY_RESPONSE_FRACTION, TROUBLE_MILLIS);
  }

  private static void injectFault(
      Fleet fleet, Random random, Fault fault, double fraction, long millis) {
    List<FleetTarget> affected = pick(fleet, random, FAULTY_FRACTION);
    Troubles.recordAtAll(fleet, millis);
    affected.forEach(target -> target.process().setFault(fault, fraction));
    fleet.runAfter(
        millis, () -> affected.forEach(target -> target.process().setFault(Fault.NONE, 0)));
  }
}
