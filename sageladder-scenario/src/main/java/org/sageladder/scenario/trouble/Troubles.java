package org.sageladder.scenario.trouble;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.sageladder.scenario.Fleet;
import org.sageladder.scenario.FleetEntry;
import org.sageladder.scenario.SimulatedDay;

/** The registry of all troubles by name, and helpers for implementing them. */
public final class Troubles {
  private Troubles() {}

  /** All troubles, in a fixed order, so that a seed always chooses the same ones. */
  public static Map<String, Trouble> all() {
    Map<String, Trouble> all = new LinkedHashMap<>();
    EntryTroubles.addTo(all);
    NetworkTroubles.addTo(all);
    StoreTroubles.addTo(all);
    TargetTroubles.addTo(all);
    OperatorTroubles.addTo(all);
    CallerTroubles.addTo(all);
    return all;
  }

  /** Troubles of workspaces by name; these are never chosen at random. */
  public static Map<String, Trouble> workspaceTroubles() {
    Map<String, Trouble> all = new LinkedHashMap<>();
    WorkspaceTroubles.addTo(all);
    return all;
  }

  /** Troubles of what targets state in answers, by name; these are never chosen at random. */
  public static Map<String, Trouble> signalTroubles() {
    Map<String, Trouble> all = new LinkedHashMap<>();
    SignalTroubles.addTo(all);
    return all;
  }

  /** Troubles of requests that crash their targets, by name; these are never chosen at random. */
  public static Map<String, Trouble> crashingRequests() {
    Map<String, Trouble> all = new LinkedHashMap<>();
    CallerTroubles.addCrashingTo(all);
    return all;
  }

  /** Troubles of entry VMs that restart while requests fail; these are never chosen at random. */
  public static Map<String, Trouble> restartTroubles() {
    Map<String, Trouble> all = new LinkedHashMap<>();
    RestartTroubles.addTo(all);
    return all;
  }

  /** Troubles of planned stops; these are never chosen at random. */
  public static Map<String, Trouble> plannedStops() {
    Map<String, Trouble> all = new LinkedHashMap<>();
    StopTroubles.addTo(all);
    return all;
  }

  /**
   * Troubles of entry VMs that reach no target; a random day has one of these beside its others
   * from time to time.
   */
  public static Map<String, Trouble> targetCuts() {
    Map<String, Trouble> all = new LinkedHashMap<>();
    TargetCutTroubles.addTo(all);
    return all;
  }

  /** Troubles of reads of the store that may be stale; these are never chosen at random. */
  public static Map<String, Trouble> staleReads() {
    Map<String, Trouble> all = new LinkedHashMap<>();
    StaleReadTroubles.addTo(all);
    return all;
  }

  /** Troubles of VMs that read the store for others; these are never chosen at random. */
  public static Map<String, Trouble> readerTroubles() {
    Map<String, Trouble> all = new LinkedHashMap<>();
    ReaderTroubles.addTo(all);
    return all;
  }

  /** The same beside reads of the store that are stale; these are never chosen at random. */
  public static Map<String, Trouble> readerTroublesBesideStaleReads() {
    Map<String, Trouble> all = new LinkedHashMap<>();
    ReaderTroubles.addBesideStaleReadsTo(all);
    return all;
  }

  /** Troubles of requests with large bodies; these are never chosen at random. */
  public static Map<String, Trouble> largeBodies() {
    Map<String, Trouble> all = new LinkedHashMap<>();
    LargeBodyTroubles.addTo(all);
    return all;
  }

  /** Troubles of bytes that belong to no request; these are never chosen at random. */
  public static Map<String, Trouble> unsolicitedAnswers() {
    Map<String, Trouble> all = new LinkedHashMap<>();
    TargetTroubles.addUnsolicitedTo(all);
    return all;
  }

  /** Troubles of whole answers with a malformed head; these are never chosen at random. */
  public static Map<String, Trouble> malformedAnswers() {
    Map<String, Trouble> all = new LinkedHashMap<>();
    TargetTroubles.addMalformedTo(all);
    return all;
  }

  /** The trouble with that name, or null. */
  public static @Nullable Trouble find(String name) {
    Map<String, Trouble> known = all();
    known.putAll(workspaceTroubles());
    known.putAll(signalTroubles());
    known.putAll(crashingRequests());
    known.putAll(restartTroubles());
    known.putAll(targetCuts());
    known.putAll(plannedStops());
    known.putAll(staleReads());
    known.putAll(largeBodies());
    known.putAll(unsolicitedAnswers());
    known.putAll(malformedAnswers());
    known.putAll(readerTroubles());
    known.putAll(readerTroublesBesideStaleReads());
    return known.get(name);
  }

  static List<FleetEntry> pickEntries(Fleet fleet, Random random, int count) {
    List<FleetEntry> all = new ArrayList<>(fleet.entries());
    Collections.shuffle(all, random);
    return all.subList(0, Math.min(count, all.size()));
  }

  static FleetEntry pickEntry(Fleet fleet, Random random) {
    return pickEntries(fleet, random, 1).get(0);
  }

  static <T> T pickOne(List<T> all, Random random) {
    return all.get(random.nextInt(all.size()));
  }

  static long randomMillis(Random random, int minMillis, int maxMillis) {
    return (long) minMillis + random.nextInt(maxMillis - minMillis);
  }

  /** Records unplanned trouble of one entry VM. */
  static void recordAt(Fleet fleet, FleetEntry entry, long millis) {
    record(fleet, entry.host().ip(), false, millis);
  }

  /** Records unplanned trouble that affects all entry VMs. */
  static void recordAtAll(Fleet fleet, long millis) {
    record(fleet, SimulatedDay.ALL_ENTRY_VMS, false, millis);
  }

  /** Records unplanned trouble of the network links to a zone. */
  static void recordLinksTo(Fleet fleet, String zone, long millis) {
    record(fleet, zone, false, millis);
  }

  /** Records planned work on one entry VM. */
  static void recordPlanned(Fleet fleet, FleetEntry entry, long millis) {
    record(fleet, entry.host().ip(), true, millis);
  }

  /**
   * Records that rules on what single entry VMs do in time are excused for {@code millis}, as in
   * planned work; what callers lose is not.
   */
  static void recordSlowdown(Fleet fleet, long millis) {
    record(fleet, SimulatedDay.ALL_ENTRY_VMS, true, millis);
  }

  private static void record(Fleet fleet, String scope, boolean planned, long millis) {
    fleet
        .day()
        .recordTrouble(
            new SimulatedDay.TroubleInterval(
                scope, planned, fleet.nowMillis(), fleet.nowMillis() + millis));
  }
}
