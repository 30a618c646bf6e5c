package org.sageladder.core.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class HoldingSafetyProperties {
  // Guards against overloading a target: at no moment may the members together use more slots than
  // it has. Members are cut off, paused, stopped, restarted and reconnected, and the relay changes,
  // in random order. Target loads never match here, so that no member gets all slots of a silent
  // member's target because of a load report. Requests are shorter than the confirmation window:
  // only the target's own load shows what a longer request still uses on a silent member's target,
  // and the next holder's gate takes that load into account.
  @Property(tries = 60, seed = "20261202")
  void membersTogetherNeverUseMoreSlotsThanTargetHas(
      @ForAll @LongRange(min = 0, max = 100_000) long seed) {
    Random random = new Random(seed);
    ZoneFake zone = new ZoneFake(4);
    zone.members.values().forEach(member -> member.loadMatchesInFlight = false);
    zone.run(Duration.ofSeconds(10));
    long fencingToken = 1;
    StringBuilder faults = new StringBuilder();
    for (int i = 0; i < 40; i++) {
      ZoneFake.MemberFake member = zone.members.get("vm-" + random.nextInt(4));
      int fault = random.nextInt(7);
      faults.append(fault).append(member.vm).append(' ');
      switch (fault) {
        case 0 -> member.isCutOff = true;
        case 1 -> member.isCutOff = false;
        case 2 -> member.isPaused = true;
        case 3 -> member.isPaused = false;
        case 4 -> member.isDead = true;
        case 5 -> {
          if (member.isDead) {
            member.restart();
          }
        }
        default -> {
          if (random.nextInt(4) == 0) {
            zone.startRelay(++fencingToken);
          }
        }
      }
      simulateRequests(zone, random);
      for (int step = random.nextInt(120); step >= 0; step--) {
        zone.step();
        check(zone, faults);
      }
    }
  }

  private static void simulateRequests(ZoneFake zone, Random random) {
    for (ZoneFake.MemberFake member : List.copyOf(zone.members.values())) {
      if (member.isDead) {
        member.inFlight.clear();
      } else if (!member.isPaused) {
        for (String target : zone.targetIncarnations.keySet()) {
          int usable = member.usableSlots(target);
          member.inFlight.merge(
              target, 0, (old, zero) -> random.nextBoolean() ? old : random.nextInt(old + 1));
          int now = member.inFlight.getOrDefault(target, 0);
          if (usable > now && random.nextBoolean()) {
            member.inFlight.put(target, now + random.nextInt(usable - now + 1));
          }
        }
      }
    }
  }

  private static void check(ZoneFake zone, StringBuilder faults) {
    for (String target : zone.targetIncarnations.keySet()) {
      int slots = zone.slotsInUseOrUsable(target);
      assertTrue(
          slots <= ZoneFake.SLOTS,
          () ->
              slots
                  + " slots in use or usable on "
                  + target
                  + ": "
                  + zone.explain(target)
                  + " after "
                  + faults);
    }
  }
}
