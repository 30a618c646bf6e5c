package org.sageladder.core.steering;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.Member;

/**
 * Orders the entry VMs of one answer so that each remains reachable after the failure that made the
 * previous one unusable: failure of a VM, a zone or a region, or a region at its capacity.
 *
 * <p>Remote zones are selected in proportion to their headroom. If each answer contained only the
 * zone with the most headroom, all callers refused by a full region would try that zone at the same
 * time, be refused there too, and never be sent to the headroom left in other zones.
 */
final class FallbackOrder {
  private static final double MIN_HEADROOM_PER_SECOND = 1e-3;

  private final Contract.Region callerRegion;
  private final List<ServiceFacts.Zone> allZones;
  private final List<ServiceFacts.Zone> localZonesByHeadroom = new ArrayList<>();
  private final List<ServiceFacts.Zone> remoteZones = new ArrayList<>();
  private final boolean isRegionFull;
  private final int maxEntries;

  private FallbackOrder(
      Contract.Region callerRegion, ServiceFacts facts, boolean isRegionFull, int maxEntries) {
    this.callerRegion = callerRegion;
    this.allZones = facts.zones();
    this.isRegionFull = isRegionFull;
    this.maxEntries = maxEntries;
    for (ServiceFacts.Zone zone : facts.zones()) {
      if (!zone.holders().isEmpty()) {
        (isLocal(zone) ? localZonesByHeadroom : remoteZones).add(zone);
      }
    }
    localZonesByHeadroom.sort(
        Comparator.comparingDouble(zone -> -zone.reading().headroomPerSecond()));
  }

  /**
   * Creates the fallback order for the callers of {@code callerRegion}.
   *
   * @param isRegionFull true if steering sends some of these callers to other regions
   * @param maxEntries maximum number of entry VMs of one answer
   */
  static FallbackOrder forCallersOf(
      Contract.Region callerRegion, ServiceFacts facts, boolean isRegionFull, int maxEntries) {
    return new FallbackOrder(callerRegion, facts, isRegionFull, maxEntries);
  }

  /**
   * Returns {@code first} followed by its fallbacks.
   *
   * @param point position in the total headroom of the remote zones that selects one, 0 to below 1
   */
  List<Member> startingWith(Member first, double point) {
    List<Member> entries = new ArrayList<>();
    entries.add(first);
    int offset = Math.floorMod(first.vm().hashCode(), 1 << 16);
    if (!isRegionFull) {
      addOneHolder(entries, allZones, zone -> zone.name().equals(first.zone()), offset);
    }
    addOneHolder(entries, localZonesByHeadroom, zone -> !zone.name().equals(first.zone()), offset);
    ServiceFacts.Zone remoteZone = drawRemoteZone(point, zone -> !zone.name().equals(first.zone()));
    if (remoteZone != null) {
      addOneHolder(entries, List.of(remoteZone), zone -> true, offset);
    }
    if (isRegionFull && remoteZone != null) {
      String region = remoteZone.reading().region();
      ServiceFacts.Zone secondZone =
          drawRemoteZone(point, zone -> !zone.reading().region().equals(region));
      if (secondZone != null) {
        addOneHolder(entries, List.of(secondZone), zone -> true, offset);
      }
    }
    addRemainingHolders(entries, this::isLocal);
    addRemainingHolders(entries, zone -> true);
    return entries;
  }

  private boolean isLocal(ServiceFacts.Zone zone) {
    return callerRegion.zones().contains(zone.name());
  }

  /**
   * Returns the remote zone at {@code point} of the total headroom of those that pass {@code
   * filter}, or null if there is none.
   */
  private ServiceFacts.@Nullable Zone drawRemoteZone(
      double point, Predicate<ServiceFacts.Zone> filter) {
    double totalHeadroom = 0;
    for (ServiceFacts.Zone zone : remoteZones) {
      totalHeadroom += filter.test(zone) ? headroom(zone) : 0;
    }
    double remaining = point * totalHeadroom;
    ServiceFacts.Zone last = null;
    for (ServiceFacts.Zone zone : remoteZones) {
      if (!filter.test(zone)) {
        continue;
      }
      last = zone;
      remaining -= headroom(zone);
      if (remaining < 0) {
        break;
      }
    }
    return last;
  }

  private static double headroom(ServiceFacts.Zone zone) {
    return Math.max(MIN_HEADROOM_PER_SECOND, zone.reading().headroomPerSecond());
  }

  /**
   * Adds one entry VM of the first zone that has one not yet in the list. The offset varies with
   * the first entry, so that fallback traffic is spread over a zone's VMs.
   */
  private void addOneHolder(
      List<Member> entries,
      List<ServiceFacts.Zone> zones,
      Predicate<ServiceFacts.Zone> filter,
      int offset) {
    for (ServiceFacts.Zone zone : zones) {
      if (!filter.test(zone)) {
        continue;
      }
      int holders = zone.holders().size();
      for (int i = 0; i < holders; i++) {
        Member member = zone.holders().get((offset + i) % holders).member();
        if (!entries.contains(member) && entries.size() < maxEntries) {
          entries.add(member);
          return;
        }
      }
    }
  }

  private void addRemainingHolders(List<Member> entries, Predicate<ServiceFacts.Zone> filter) {
    for (ServiceFacts.Zone zone : allZones) {
      if (entries.size() >= maxEntries) {
        return;
      }
      if (filter.test(zone)) {
        addAllHolders(entries, zone);
      }
    }
  }

  private void addAllHolders(List<Member> entries, ServiceFacts.Zone zone) {
    for (ServiceFacts.Holder holder : zone.holders()) {
      if (entries.size() < maxEntries && !entries.contains(holder.member())) {
        entries.add(holder.member());
      }
    }
  }
}
