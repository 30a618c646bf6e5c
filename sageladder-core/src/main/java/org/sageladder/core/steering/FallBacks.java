package org.sageladder.core.steering;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.Member;

/**
 * Orders the entry VMs of one answer so that each next one survives what stopped the one before: a
 * VM's death, a zone's, a region's or its being full.
 */
final class FallBacks {
  private final List<Member> entries = new ArrayList<>();
  private final int most;

  private FallBacks(Member first, int most) {
    this.most = most;
    entries.add(first);
  }

  /**
   * {@code first}, then one more of its zone, of its region and of another region with room; then
   * whoever is nearest.
   */
  static List<Member> of(Member first, Contract.Region home, ServiceFacts facts, int most) {
    FallBacks fallBacks = new FallBacks(first, most);
    int turn = Math.floorMod(first.vm().hashCode(), 1 << 16);
    List<ServiceFacts.Zone> roomiest = new ArrayList<>(facts.zones());
    roomiest.sort(Comparator.comparingDouble(zone -> -zone.reading().room()));
    fallBacks.addOne(facts.zones(), zone -> zone.name().equals(first.zone()), turn);
    fallBacks.addOne(
        roomiest,
        zone -> home.zones().contains(zone.name()) && !zone.name().equals(first.zone()),
        turn);
    fallBacks.addOne(roomiest, zone -> !home.zones().contains(zone.name()), turn);
    fallBacks.addRest(facts.zones(), zone -> home.zones().contains(zone.name()));
    fallBacks.addRest(facts.zones(), zone -> true);
    return fallBacks.entries;
  }

  /** Adds one holder of the first zone that has a new one, not the same for all first entries. */
  private void addOne(
      List<ServiceFacts.Zone> zones, Predicate<ServiceFacts.Zone> filter, int turn) {
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

  private void addRest(List<ServiceFacts.Zone> zones, Predicate<ServiceFacts.Zone> filter) {
    for (ServiceFacts.Zone zone : zones) {
      for (ServiceFacts.Holder holder : zone.holders()) {
        boolean fits = filter.test(zone) && entries.size() < most;
        if (fits && !entries.contains(holder.member())) {
          entries.add(holder.member());
        }
      }
    }
  }
}
