package org.sageladder.core.placing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The targets that an entry VM knows, by id and by service, and the zones that operators emptied.
 *
 * <p>A target that has once been seen to leave stays so: a late message cannot bring it back within
 * its incarnation.
 */
public final class TargetTable {
  /** What became of a target's word on itself. */
  public enum Change {
    /** The target was not known. */
    JOINED,
    /** It has started again under its id; all that was believed of it is forgotten. */
    STARTED_AGAIN,
    /** It was known, and its word counts. */
    CHANGED,
    /** A later word of it is known already; this one has no effect. */
    OUTDATED
  }

  private final Map<String, TargetState> byId = new HashMap<>();
  private final Map<String, List<TargetState>> byService = new HashMap<>();
  private final Map<String, Long> removalTimes = new HashMap<>();
  private final Map<String, Map<String, RegionLoad>> loadsByService = new HashMap<>();
  private Map<String, Integer> peerCountsByRegion = Map.of();
  private final Set<String> evacuatedZones = new HashSet<>();

  private TargetTable() {}

  /** A table that knows no target. */
  public static TargetTable create() {
    return new TargetTable();
  }

  /** Takes what a target says of itself. */
  public Change put(TargetFacts facts, long now) {
    TargetState current = byId.get(facts.id());
    if (current == null) {
      add(facts, now);
      return Change.JOINED;
    }
    if (facts.isOlderThan(current.facts())) {
      return Change.OUTDATED;
    }
    if (current.facts().incarnation().isBefore(facts.incarnation())) {
      remove(facts.id());
      add(facts, now);
      return Change.STARTED_AGAIN;
    }
    removalTimes.remove(facts.id());
    if (!current.facts().hasSameServiceRegionAndSlots(facts)) {
      remove(facts.id());
      add(facts, now);
      return Change.CHANGED;
    }
    current.update(current.facts().isDraining() ? facts.asDraining() : facts, now);
    return Change.CHANGED;
  }

  private void add(TargetFacts facts, long now) {
    RegionLoad regionLoad = regionLoad(facts);
    regionLoad.addSlots(facts.slots());
    List<TargetState> others = targetsOfService(facts.service());
    TargetState added = new TargetState(facts, regionLoad, now, joinsTargetsWithRequests(others));
    byId.put(facts.id(), added);
    others.add(added);
  }

  /**
   * True where a target that is added now joins others that have had work from here. Targets that
   * register after this VM's first look at the list, all of them without work, have not newly
   * joined: if all VMs sent each of them a first request, each VM's first requests would stay in
   * its region, however few slots that has.
   */
  private static boolean joinsTargetsWithRequests(List<TargetState> others) {
    return others.stream().anyMatch(TargetState::hasHadRequest);
  }

  private RegionLoad regionLoad(TargetFacts facts) {
    return loadsByService
        .computeIfAbsent(facts.service(), name -> new HashMap<>())
        .computeIfAbsent(
            facts.region(),
            name -> {
              RegionLoad added = new RegionLoad();
              added.updatePeerCount(peerCountsByRegion.getOrDefault(name, 0));
              return added;
            });
  }

  /** Sets how many other entry VMs are assumed to send the same share to each region. */
  public void updatePeerCounts(Map<String, Integer> countsByRegion) {
    peerCountsByRegion = Map.copyOf(countsByRegion);
    loadsByService
        .values()
        .forEach(
            regions ->
                regions.forEach(
                    (name, load) ->
                        load.updatePeerCount(peerCountsByRegion.getOrDefault(name, 0))));
  }

  private List<TargetState> targetsOfService(String service) {
    return byService.computeIfAbsent(service, name -> new ArrayList<>());
  }

  /** Removes a target at {@code at}, unless it is put again before. */
  public void scheduleRemoval(String id, long at) {
    if (byId.containsKey(id)) {
      removalTimes.putIfAbsent(id, at);
    }
  }

  private void remove(String id) {
    removalTimes.remove(id);
    TargetState removed = byId.remove(id);
    if (removed != null) {
      regionLoad(removed.facts()).addSlots(-removed.facts().slots());
      byService.get(removed.facts().service()).remove(removed);
    }
  }

  /** Removes that start of a target now; a later start under the same id stays. */
  public void remove(TargetIncarnation incarnation) {
    TargetState current = byId.get(incarnation.id());
    if (current != null && current.facts().incarnation().equals(incarnation)) {
      remove(incarnation.id());
    }
  }

  /** Carries out the removals that are due and returns the starts of targets removed. */
  public List<TargetIncarnation> removeDue(long now) {
    List<TargetIncarnation> due =
        removalTimes.entrySet().stream()
            .filter(removal -> removal.getValue() <= now)
            .map(removal -> byId.get(removal.getKey()).facts().incarnation())
            .toList();
    due.forEach(start -> remove(start.id()));
    return due;
  }

  /** Sends nothing more to the targets of {@code zone}. */
  public void evacuateZone(String zone) {
    evacuatedZones.add(zone);
  }

  /**
   * Takes a zone back. Its targets may have turned cold while they had no work, so that they count
   * as cold for {@code coldMillis}.
   */
  public void endEvacuation(String zone, long now, long coldMillis) {
    if (!evacuatedZones.remove(zone)) {
      return;
    }
    for (TargetState target : byId.values()) {
      if (target.facts().zone().equals(zone)) {
        target.markColdUntil(now + coldMillis);
      }
    }
  }

  /** The target of that id. */
  public Optional<TargetState> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** How many targets are known. */
  public int size() {
    return byId.size();
  }

  /** True where new work may go to {@code target}; a removal counts from its very moment. */
  public boolean acceptsRequests(TargetState target, long now) {
    Long removalTime = removalTimes.get(target.facts().id());
    boolean isRemoved = removalTime != null && removalTime <= now;
    return !isRemoved
        && !target.facts().isDraining()
        && !evacuatedZones.contains(target.facts().zone());
  }

  /** Share of a service's slots that a region has; 1 where the service has none. */
  double slotShare(String service, String region) {
    Map<String, RegionLoad> regions = loadsByService.getOrDefault(service, Map.of());
    int allSlots = 0;
    int regionSlots = 0;
    for (Map.Entry<String, RegionLoad> entry : regions.entrySet()) {
      allSlots += entry.getValue().slotCount();
      regionSlots += entry.getKey().equals(region) ? entry.getValue().slotCount() : 0;
    }
    return allSlots == 0 ? 1 : (double) regionSlots / allSlots;
  }

  /** Part of a service's slots, in all regions, that is believed to be busy; 0 to 1. */
  double utilization(String service) {
    double requests = 0;
    int slots = 0;
    for (RegionLoad region : loadsByService.getOrDefault(service, Map.of()).values()) {
      requests += region.estimatedRequestCount();
      slots += region.slotCount();
    }
    return slots == 0 ? 0 : Math.min(1, requests / slots);
  }

  /** The targets of a service that new work may go to. */
  public List<TargetState> usable(String service, long now) {
    List<TargetState> usable = new ArrayList<>();
    for (TargetState target : byService.getOrDefault(service, List.of())) {
      if (acceptsRequests(target, now)) {
        usable.add(target);
      }
    }
    return usable;
  }
}
