package org.sageladder.core.steering;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.Member;

/**
 * Orders the entry VMs of one answer so that each next one survives what stopped the one before: a
 * VM's death, a zone's, a region's or its being full.
 *
 * <p>Places abroad are drawn in proportion to their room. Were each answer to name the one zone
 * with the most room, all callers whom a full region refuses would ask that zone at once, be
 * refused there too, and never learn of the room that is left elsewhere.
 */
final class FallBacks {
  private static final double LEAST_ROOM = 1e-3;

  private final Contract.Region home;
  private final List<ServiceFacts.Zone> nearest;
  private final List<ServiceFacts.Zone> homeByRoom = new ArrayList<>();
  private final List<ServiceFacts.Zone> abroad = new ArrayList<>();
  private final boolean homeIsFull;
  private final int most;

  private FallBacks(Contract.Region home, ServiceFacts facts, boolean homeIsFull, int most) {
    this.home = home;
    this.nearest = facts.zones();
    this.homeIsFull = homeIsFull;
    this.most = most;
    for (ServiceFacts.Zone zone : facts.zones()) {
      if (!zone.holders().isEmpty()) {
        (isHome(zone) ? homeByRoom : abroad).add(zone);
      }
    }
    homeByRoom.sort(Comparator.comparingDouble(zone -> -zone.reading().room()));
  }

  /**
   * Fall-backs for the callers of {@code home}.
   *
   * @param homeIsFull true where steering sends some of these callers to other regions
   * @param most entry VMs of one answer
   */
  static FallBacks forCallersOf(
      Contract.Region home, ServiceFacts facts, boolean homeIsFull, int most) {
    return new FallBacks(home, facts, homeIsFull, most);
  }

  /**
   * {@code first} and the entry VMs to ask after it.
   *
   * @param point where in the room of the other regions to look first, 0 to below 1
   */
  List<Member> after(Member first, double point) {
    List<Member> entries = new ArrayList<>();
    entries.add(first);
    int turn = Math.floorMod(first.vm().hashCode(), 1 << 16);
    if (!homeIsFull) {
      addOne(entries, nearest, zone -> zone.name().equals(first.zone()), turn);
    }
    addOne(entries, homeByRoom, zone -> !zone.name().equals(first.zone()), turn);
    ServiceFacts.Zone drawn = draw(point, zone -> !zone.name().equals(first.zone()));
    if (drawn != null) {
      addOne(entries, List.of(drawn), zone -> true, turn);
    }
    if (homeIsFull && drawn != null) {
      String region = drawn.reading().region();
      ServiceFacts.Zone next = draw(point, zone -> !zone.reading().region().equals(region));
      if (next != null) {
        addOne(entries, List.of(next), zone -> true, turn);
      }
    }
    addRest(entries, this::isHome);
    addRest(entries, zone -> true);
    return entries;
  }

  private boolean isHome(ServiceFacts.Zone zone) {
    return home.zones().contains(zone.name());
  }

  /** The zone abroad at {@code point} of the room of all that pass {@code filter}, or null. */
  private ServiceFacts.@Nullable Zone draw(double point, Predicate<ServiceFacts.Zone> filter) {
    double sum = 0;
    for (ServiceFacts.Zone zone : abroad) {
      sum += filter.test(zone) ? room(zone) : 0;
    }
    double left = point * sum;
    ServiceFacts.Zone last = null;
    for (ServiceFacts.Zone zone : abroad) {
      if (!filter.test(zone)) {
        continue;
      }
      last = zone;
      left -= room(zone);
      if (left < 0) {
        break;
      }
    }
    return last;
  }

  private static double room(ServiceFacts.Zone zone) {
    return Math.max(LEAST_ROOM, zone.reading().room());
  }

  /** Adds one holder of the first zone that has a new one, not the same for all first entries. */
  private void addOne(
      List<Member> entries,
      List<ServiceFacts.Zone> zones,
      Predicate<ServiceFacts.Zone> filter,
      int turn) {
    for (ServiceFacts.Zone zone : zones) {
      if (!filter.test(zone)) {
        continue;
      }
      int holders = zone.holders().size();
      for (int i = 0; i < holders; i++) {
        Member member = zone.holders().get((turn + i) % holders).member();
        if (!entries.contains(member) && entries.size() < most) {
          entries.add(member);
          return;
        }
      }
    }
  }

  private void addRest(List<Member> entries, Predicate<ServiceFacts.Zone> filter) {
    for (ServiceFacts.Zone zone : nearest) {
      if (entries.size() >= most) {
        return;
      }
      if (filter.test(zone)) {
        addAll(entries, zone);
      }
    }
  }

  private void addAll(List<Member> entries, ServiceFacts.Zone zone) {
    for (ServiceFacts.Holder holder : zone.holders()) {
      if (entries.size() < most && !entries.contains(holder.member())) {
        entries.add(holder.member());
      }
    }
  }
}
