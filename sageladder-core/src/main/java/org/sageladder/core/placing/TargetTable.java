package org.sageladder.core.placing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.overload.ServiceLoad;

/**
 * The targets known to an entry VM, by id and by service, and the zones that operators evacuated.
 *
 * <p>A target that was once seen draining stays so: a late message does not reactivate it within
 * its incarnation.
 */
public final class TargetTable {
  /** The effect of a registration. */
  public enum Change {
    /** The target was not known. */
    JOINED,
    /**
     * The target was restarted under the same id; everything learned about the previous incarnation
     * is discarded.
     */
    STARTED_AGAIN,
    /** The target was known and its registration was updated. */
    CHANGED,
    /** A newer registration of the target is known already; this one has no effect. */
    OUTDATED
  }

  /**
   * Number of incarnations whose drains and back-offs are kept. Both outlive a target's
   * registration, which may lapse and come back while the target goes on serving.
   */
  private static final int MAX_REMEMBERED_TARGETS = 10_000;

  private final Map<String, TargetState> byId = new HashMap<>();
  private final Map<Integer, TargetState> byIncarnationHash = new HashMap<>();
  private final Map<String, List<TargetState>> byService = new HashMap<>();
  private final Map<String, Long> removalTimes = new HashMap<>();
  private final Map<String, Map<String, RegionLoad>> loadsByService = new HashMap<>();
  private Map<String, Integer> peerCountsByRegion = Map.of();
  private int reportingVmCount = 1;
  private final Set<String> evacuatedZones = new HashSet<>();
  private final Set<TargetIncarnation> drainingByAnswer =
      Collections.newSetFromMap(new BoundedMap<>(MAX_REMEMBERED_TARGETS));
  private final Map<TargetIncarnation, Long> backOffUntilMillis =
      new BoundedMap<>(MAX_REMEMBERED_TARGETS);

  private TargetTable() {}

  /** Creates an empty table. */
  public static TargetTable create() {
    return new TargetTable();
  }

  /** Adds or updates a target from its registration. */
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
    byIncarnationHash.remove(current.incarnationHash(), current);
    current.update(current.facts().isDraining() ? facts.asDraining() : facts, now);
    byIncarnationHash.put(current.incarnationHash(), current);
    return Change.CHANGED;
  }

  private void add(TargetFacts facts, long now) {
    RegionLoad regionLoad = regionLoad(facts);
    regionLoad.addSlots(facts.slots());
    List<TargetState> others = targetsOfService(facts.service());
    TargetState added = new TargetState(facts, regionLoad, now, joinsTargetsWithRequests(others));
    byId.put(facts.id(), added);
    byIncarnationHash.put(added.incarnationHash(), added);
    others.add(added);
  }

  /**
   * Returns true if a target that is added now joins targets that have had requests from here.
   * Targets that register after this VM first read the list, when none of them has had requests,
   * are not newly joined: if all VMs sent each of them a first request, each VM's first requests
   * would stay in its region, however few slots that has.
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
              added.updateReportingVmCount(reportingVmCount);
              return added;
            });
  }

  /**
   * Sets the number of other entry VMs assumed to send the same load as this one to each region.
   */
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

  /** Sets the number of entry VMs whose load reports are recorded, this one included. */
  public void updateReportingVmCount(int number) {
    reportingVmCount = number;
    loadsByService
        .values()
        .forEach(regions -> regions.values().forEach(load -> load.updateReportingVmCount(number)));
  }

  private List<TargetState> targetsOfService(String service) {
    return byService.computeIfAbsent(service, name -> new ArrayList<>());
  }

  /**
   * Records that a target said in an answer that it is draining. Holds for the rest of that
   * incarnation, whatever its registration says.
   *
   * @return false if that was known already
   */
  public boolean markDraining(TargetIncarnation target) {
    return drainingByAnswer.add(target);
  }

  /**
   * Records that a target wants no requests from this entry VM until {@code until}; an earlier time
   * than one recorded before has no effect.
   */
  public void backOffUntil(TargetIncarnation target, long until) {
    backOffUntilMillis.merge(target, until, Math::max);
  }

  /** Returns the time for which the target wants no requests from this entry VM; 0 if none. */
  long backOffMillis(TargetState target, long now) {
    TargetIncarnation incarnation = target.facts().incarnation();
    Long until = backOffUntilMillis.get(incarnation);
    if (until == null) {
      return 0;
    }
    if (until <= now) {
      backOffUntilMillis.remove(incarnation);
      return 0;
    }
    return until - now;
  }

  /**
   * Returns the time until the first target of the service that now wants no requests accepts them,
   * among those in {@code regions}; empty if there is none.
   */
  OptionalLong firstBackOffMillis(String service, Predicate<String> regions, long now) {
    return byService.getOrDefault(service, List.of()).stream()
        .filter(target -> regions.test(target.facts().region()))
        .filter(target -> acceptsAfterBackOff(target, now))
        .mapToLong(target -> backOffMillis(target, now))
        .filter(millis -> millis > 0)
        .min();
  }

  /** Schedules a target for removal at {@code at}, unless it is registered again before. */
  public void scheduleRemoval(String id, long at) {
    if (byId.containsKey(id)) {
      removalTimes.putIfAbsent(id, at);
    }
  }

  private void remove(String id) {
    removalTimes.remove(id);
    TargetState removed = byId.remove(id);
    if (removed != null) {
      byIncarnationHash.remove(removed.incarnationHash(), removed);
      regionLoad(removed.facts()).addSlots(-removed.facts().slots());
      byService.get(removed.facts().service()).remove(removed);
    }
  }

  /** Removes that incarnation of a target now; a later one under the same id stays. */
  public void remove(TargetIncarnation incarnation) {
    TargetState current = byId.get(incarnation.id());
    if (current != null && current.facts().incarnation().equals(incarnation)) {
      remove(incarnation.id());
    }
  }

  /** Removes the targets whose removal is due and returns their incarnations. */
  public List<TargetIncarnation> removeDue(long now) {
    List<TargetIncarnation> due =
        removalTimes.entrySet().stream()
            .filter(removal -> removal.getValue() <= now)
            .map(removal -> byId.get(removal.getKey()).facts().incarnation())
            .toList();
    due.forEach(incarnation -> remove(incarnation.id()));
    return due;
  }

  /** Evacuates {@code zone}: its targets get no more requests. */
  public void evacuateZone(String zone) {
    evacuatedZones.add(zone);
  }

  /**
   * Ends the evacuation of a zone. Its targets may have turned cold while they had no requests, so
   * they are treated as cold for {@code coldMillis}.
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

  /** Returns the target of that id. */
  public Optional<TargetState> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /**
   * Returns the target in the incarnation of that hash, or null if that incarnation is unknown or
   * has ended.
   */
  public @Nullable TargetState findByIncarnationHash(int hash) {
    return byIncarnationHash.get(hash);
  }

  /** All known targets. */
  public List<TargetState> all() {
    return List.copyOf(byId.values());
  }

  /** The known targets of a service, whether they accept requests or not. */
  public List<TargetState> ofService(String service) {
    return List.copyOf(byService.getOrDefault(service, List.of()));
  }

  /** The number of known targets of a service. */
  public int countOfService(String service) {
    return byService.getOrDefault(service, List.of()).size();
  }

  /** The number of known targets. */
  public int size() {
    return byId.size();
  }

  /**
   * Returns true if new requests may be sent to {@code target}. A scheduled removal takes effect at
   * its time, even before {@link #removeDue} is called.
   */
  public boolean acceptsRequests(TargetState target, long now) {
    return acceptsAfterBackOff(target, now) && backOffMillis(target, now) == 0;
  }

  private boolean acceptsAfterBackOff(TargetState target, long now) {
    Long removalTime = removalTimes.get(target.facts().id());
    boolean isRemoved = removalTime != null && removalTime <= now;
    return !isRemoved
        && !target.facts().isDraining()
        && !drainingByAnswer.contains(target.facts().incarnation())
        && !evacuatedZones.contains(target.facts().zone());
  }

  /** Returns the fraction of a service's usable slots that a region has; 1 if there are none. */
  double slotShare(String service, String region, long now) {
    Map<String, RegionLoad> regions = loadsByService.getOrDefault(service, Map.of());
    int allSlots = -withheldSlots(service, name -> true, now);
    int regionSlots = -withheldSlots(service, region::equals, now);
    for (Map.Entry<String, RegionLoad> entry : regions.entrySet()) {
      allSlots += entry.getValue().slotCount();
      regionSlots += entry.getKey().equals(region) ? entry.getValue().slotCount() : 0;
    }
    return allSlots <= 0 ? 1 : (double) regionSlots / allSlots;
  }

  /** Returns the estimated fraction of a service's usable slots that are busy, 0 to 1. */
  double utilization(String service, long now) {
    double requests = 0;
    int slots = -withheldSlots(service, name -> true, now);
    for (RegionLoad region : loadsByService.getOrDefault(service, Map.of()).values()) {
      requests += region.estimatedRequestCount();
      slots += region.slotCount();
    }
    return slots <= 0 ? 0 : Math.min(1, requests / slots);
  }

  /** Returns the load of a service's targets in the regions that have reported recently. */
  ServiceLoad measuredLoad(String service, long now) {
    double requests = 0;
    int slots = 0;
    long reports = 0;
    long ageMillis = Long.MAX_VALUE;
    for (Map.Entry<String, RegionLoad> entry :
        loadsByService.getOrDefault(service, Map.of()).entrySet()) {
      RegionLoad region = entry.getValue();
      boolean isRecent = region.reportAgeMillis(now) <= ServiceLoad.MAX_REPORT_AGE_MILLIS;
      if (!isRecent || region.reportCount() == 0) {
        continue;
      }
      requests += region.estimatedRequestCount();
      slots += region.slotCount() - withheldSlots(service, entry.getKey()::equals, now);
      reports += region.reportCount();
      ageMillis = Math.min(ageMillis, region.reportAgeMillis(now));
    }
    return slots <= 0
        ? ServiceLoad.unknown()
        : new ServiceLoad(requests / slots, ageMillis, reports);
  }

  /** Returns the slots of targets that said in an answer that they accept no requests now. */
  private int withheldSlots(String service, Predicate<String> regions, long now) {
    if (drainingByAnswer.isEmpty() && backOffUntilMillis.isEmpty()) {
      return 0;
    }
    return byService.getOrDefault(service, List.of()).stream()
        .filter(target -> regions.test(target.facts().region()))
        .filter(target -> isWithheld(target, now))
        .mapToInt(target -> target.facts().slots())
        .sum();
  }

  private boolean isWithheld(TargetState target, long now) {
    return drainingByAnswer.contains(target.facts().incarnation())
        || backOffMillis(target, now) > 0;
  }

  /** Returns the targets of a service to which new requests may be sent. */
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
