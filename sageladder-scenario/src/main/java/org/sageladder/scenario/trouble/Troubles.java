package org.sageladder.scenario.trouble;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.sageladder.scenario.Day;
import org.sageladder.scenario.Fleet;
import org.sageladder.scenario.FleetEntry;

/** All troubles by name, and what they share. */
public final class Troubles {
  private Troubles() {}

  /** All troubles, in an order that stays, so that seeds go on drawing the same ones. */
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

  /** Troubles of workspaces, by name; seeds draw them on no deployment. */
  public static Map<String, Trouble> ofWorkspaces() {
    Map<String, Trouble> all = new LinkedHashMap<>();
    WorkspaceTroubles.addTo(all);
    return all;
  }

  /** The trouble of that name, or null. */
  public static @Nullable Trouble named(String name) {
    Trouble known = all().get(name);
    return known == null ? ofWorkspaces().get(name) : known;
  }

  static List<FleetEntry> pick(Fleet fleet, Random random, int count) {
    List<FleetEntry> all = new ArrayList<>(fleet.entries());
    Collections.shuffle(all, random);
    return all.subList(0, Math.min(count, all.size()));
  }

  static FleetEntry pickOne(Fleet fleet, Random random) {
    return pick(fleet, random, 1).get(0);
  }

  static long between(Random random, int least, int most) {
    return (long) least + random.nextInt(most - least);
  }

  /** Notes unplanned trouble of one entry VM. */
  static void noteAt(Fleet fleet, FleetEntry entry, long millis) {
    note(fleet, entry.host().ip(), false, millis);
  }

  /** Notes unplanned trouble that touches all entry VMs. */
  static void noteEverywhere(Fleet fleet, long millis) {
    note(fleet, Day.EVERYWHERE, false, millis);
  }

  /** Notes unplanned trouble of the links to a zone. */
  static void noteLinksTo(Fleet fleet, String zone, long millis) {
    note(fleet, zone, false, millis);
  }

  /** Notes planned work at one entry VM. */
  static void notePlanned(Fleet fleet, FleetEntry entry, long millis) {
    note(fleet, entry.host().ip(), true, millis);
  }

  private static void note(Fleet fleet, String scope, boolean planned, long millis) {
    fleet.day().trouble(new Day.Span(scope, planned, fleet.now(), fleet.now() + millis));
  }
}
