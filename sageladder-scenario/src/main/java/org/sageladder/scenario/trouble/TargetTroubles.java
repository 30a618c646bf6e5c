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

/** What happens to targets. */
final class TargetTroubles {
  private static final double CRASH_SHARE = 0.1;
  private static final double SLOW_SHARE = 0.15;
  private static final double COLD_SHARE = 0.2;
  private static final double RELEASE_SHARE = 0.3;
  private static final double ADDED_SHARE = 0.1;
  private static final double FAULTY_SHARE = 0.5;
  private static final double FAULTY_ANSWERS = 0.05;
  private static final double SLOWER = 4;
  private static final long SPAN_MILLIS = 6_000;
  private static final long RELEASE_GAP_MILLIS = 700;
  private static final int REMOVED = 3;

  private TargetTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("targets-crash", TargetTroubles::crash);
    all.put("targets-slow", TargetTroubles::slow);
    all.put("targets-cold", TargetTroubles::turnCold);
    all.put("targets-released", TargetTroubles::release);
    all.put("targets-removed", (fleet, random) -> leave(fleet, random, REMOVED, false));
    all.put("targets-added", TargetTroubles::add);
    all.put("answers-lost", (fleet, random) -> faulty(fleet, random, Fault.LOSES_ANSWER));
    all.put("answers-cut", (fleet, random) -> faulty(fleet, random, Fault.CUTS_ANSWER));
    all.put("answers-spoilt", (fleet, random) -> faulty(fleet, random, Fault.SPOILS_ANSWER));
    all.put("answers-twice", (fleet, random) -> faulty(fleet, random, Fault.ANSWERS_TWICE));
    all.put("answers-unframed", (fleet, random) -> faulty(fleet, random, Fault.UNFRAMED));
    all.put("answers-fail", (fleet, random) -> faulty(fleet, random, Fault.FAILS));
    all.put("targets-start-again", TargetTroubles::startAgainBehindACut);
  }

  private static List<FleetTarget> pick(Fleet fleet, Random random, double share) {
    List<FleetTarget> all = new ArrayList<>(fleet.targets());
    Collections.shuffle(all, random);
    return all.subList(0, (int) Math.ceil(share * all.size()));
  }

  private static void crash(Fleet fleet, Random random) {
    for (FleetTarget target : pick(fleet, random, CRASH_SHARE)) {
      target.crash(Troubles.between(random, 1_000, 6_000));
    }
  }

  /** Targets are cut off, crash meanwhile, and are back under their ids as the cut heals. */
  private static void startAgainBehindACut(Fleet fleet, Random random) {
    List<FleetTarget> hit = pick(fleet, random, CRASH_SHARE);
    Set<SimulatedHost> hosts = hit.stream().map(FleetTarget::host).collect(Collectors.toSet());
    long millis = Troubles.between(random, 1_500, 6_000);
    Partition cut =
        fleet.network().partition((from, to) -> hosts.contains(from) || hosts.contains(to));
    fleet.after(millis / 2, () -> hit.forEach(target -> target.crashAndStartAgain(millis / 4)));
    fleet.after(millis, cut::close);
  }

  private static void slow(Fleet fleet, Random random) {
    List<FleetTarget> slow = pick(fleet, random, SLOW_SHARE);
    slow.forEach(target -> target.process().setServiceTimeFactor(SLOWER));
    fleet.after(
        SPAN_MILLIS, () -> slow.forEach(target -> target.process().setServiceTimeFactor(1)));
  }

  private static void turnCold(Fleet fleet, Random random) {
    pick(fleet, random, COLD_SHARE).forEach(target -> target.process().becomeCold());
  }

  /** Targets leave one after the other, each with a successor before. */
  private static void release(Fleet fleet, Random random) {
    long at = 0;
    for (FleetTarget target : pick(fleet, random, RELEASE_SHARE)) {
      fleet.after(
          at,
          () -> {
            fleet.addColdTarget(target.service(), target.host().zone());
            target.leave(true);
          });
      at += RELEASE_GAP_MILLIS;
    }
  }

  /** Targets leave; where {@code told} is false their entries are just removed. */
  static void leave(Fleet fleet, Random random, int count, boolean told) {
    List<FleetTarget> all = pick(fleet, random, 1);
    all.subList(0, Math.min(count, all.size())).forEach(target -> target.leave(told));
  }

  private static void add(Fleet fleet, Random random) {
    for (FleetTarget beside : pick(fleet, random, ADDED_SHARE)) {
      fleet.addColdTarget(beside.service(), beside.host().zone());
    }
  }

  private static void faulty(Fleet fleet, Random random, Fault kind) {
    List<FleetTarget> hit = pick(fleet, random, FAULTY_SHARE);
    Troubles.noteEverywhere(fleet, SPAN_MILLIS);
    hit.forEach(target -> target.process().setFault(kind, FAULTY_ANSWERS));
    fleet.after(SPAN_MILLIS, () -> hit.forEach(target -> target.process().setFault(Fault.NONE, 0)));
  }
}
