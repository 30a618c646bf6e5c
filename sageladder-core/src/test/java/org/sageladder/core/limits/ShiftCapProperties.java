package org.sageladder.core.limits;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.RequestClass;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.Holding;

/** Checks the shift caps against a slow but simple count of all admissions. */
class ShiftCapProperties {
  /** Steps of constant demand per window, and ticks per step. */
  private static final int TICKS_PER_STEP = 10;

  private static final int TARGET_COUNT = 4;
  private static final int SLOTS_PER_TARGET = 3;
  private static final double TARGET_CAPACITY_PER_SECOND = SLOTS_PER_TARGET * 10.0;

  private final GateFixture gates = new GateFixture();
  private final Map<String, List<Long>> admissions = new HashMap<>();
  private final Map<String, String> lastHolder = new HashMap<>();
  private final Map<String, Integer> inFlight = new HashMap<>();
  private Random deliveryRandom = new Random(0);

  /**
   * Two gates of a region get random demand while targets move between the gates, histories of
   * moved targets are delivered, lost or duplicated, and gates restart. No window of all admissions
   * may contain more requests than the window before it plus the gain that the contract allows.
   */
  @Property(tries = 60, seed = "20461")
  void windowGrowthStaysWithinCap(
      @ForAll long seed,
      @ForAll @DoubleRange(min = 0.1, max = 0.5) double gain,
      @ForAll @IntRange(min = 1, max = 10) int windowSeconds) {
    // jqwik uses one object for all tries of a property, so each try creates its own region.
    new ShiftCapProperties().runRegion(seed, gain, windowSeconds);
  }

  private void runRegion(long seed, double gain, int windowSeconds) {
    Random random = new Random(seed);
    deliveryRandom = new Random(seed + 1);
    Contract.ShiftCap cap = new Contract.ShiftCap(gain, Duration.ofSeconds(windowSeconds));
    Contract.ShiftCap targetCap =
        new Contract.ShiftCap(2 * gain, Duration.ofSeconds(windowSeconds));
    Contract.Service service = GateFixture.service(RequestClass.INTERACTIVE, cap, targetCap);
    ServiceGate[] region = {gate(service), gate(service)};
    String[] holderOf = new String[TARGET_COUNT];
    moveTargets(region, holderOf, random);
    int steps = 60 * TICKS_PER_STEP;
    double requestsPerStep = 1;
    for (int step = 0; step < steps; step++) {
      if (random.nextInt(40) == 0) {
        requestsPerStep =
            random.nextDouble()
                * TARGET_COUNT
                * TARGET_CAPACITY_PER_SECOND
                * windowSeconds
                / 10
                * 2;
      }
      if (random.nextInt(60) == 0) {
        moveTargets(region, holderOf, random);
      }
      if (random.nextInt(150) == 0) {
        restart(region, holderOf, random.nextInt(2), service);
      }
      sendRequests(region, requestsPerStep, random, windowSeconds);
    }
    double targetGain = 2 * gain * TARGET_CAPACITY_PER_SECOND * windowSeconds;
    for (Map.Entry<String, List<Long>> target : admissions.entrySet()) {
      assertCap(target.getValue(), (int) targetGain, windowSeconds, "a target");
    }
    List<Long> allAdmissions = new ArrayList<>();
    admissions.values().forEach(allAdmissions::addAll);
    int regionGain = (int) (gain * TARGET_COUNT * TARGET_CAPACITY_PER_SECOND * windowSeconds);
    assertCap(allAdmissions, regionGain, windowSeconds, "the region");
  }

  private ServiceGate gate(Contract.Service service) {
    return ServiceGate.create("c", service, gates.time, gates, EventSink.none());
  }

  private void moveTargets(ServiceGate[] region, String[] holderOf, Random random) {
    for (int i = 0; i < TARGET_COUNT; i++) {
      if (holderOf[i] == null || random.nextInt(3) == 0) {
        holderOf[i] = String.valueOf(random.nextInt(2));
      }
    }
    updateHoldings(region, holderOf, -1);
  }

  private void restart(
      ServiceGate[] region, String[] holderOf, int index, Contract.Service service) {
    region[index].close();
    region[index] = gate(service);
    updateHoldings(region, holderOf, index);
  }

  private void updateHoldings(ServiceGate[] region, String[] holderOf, int restarted) {
    for (int gate = 0; gate < region.length; gate++) {
      List<Holding> held = new ArrayList<>();
      Set<String> takenOver = new TreeSet<>();
      for (int i = 0; i < TARGET_COUNT; i++) {
        if (!holderOf[i].equals(String.valueOf(gate))) {
          continue;
        }
        held.add(GateFixture.holding("t" + i, SLOTS_PER_TARGET));
        String previous = lastHolder.get("t" + i);
        if (previous != null && (!previous.equals(holderOf[i]) || gate == restarted)) {
          takenOver.add("t" + i);
        }
      }
      region[gate].updateHoldings(held, takenOver);
    }
    for (int i = 0; i < TARGET_COUNT; i++) {
      String previous = lastHolder.put("t" + i, holderOf[i]);
      if (previous != null && !previous.equals(holderOf[i])) {
        transferHistory(
            region[Integer.parseInt(previous)], region[Integer.parseInt(holderOf[i])], i);
      }
    }
  }

  private void transferHistory(ServiceGate from, ServiceGate to, int target) {
    int copies = deliveryRandom.nextInt(3);
    from.exportHistory("t" + target)
        .ifPresent(
            history -> {
              for (int i = 0; i < copies; i++) {
                to.importHistory(history);
              }
            });
  }

  private void sendRequests(
      ServiceGate[] region, double requestsPerStep, Random random, int windowSeconds) {
    Duration tick = Duration.ofMillis(10L * windowSeconds);
    for (int i = 0; i < TICKS_PER_STEP; i++) {
      int arrivals = (int) (requestsPerStep / TICKS_PER_STEP + random.nextDouble());
      for (int n = 0; n < arrivals; n++) {
        region[random.nextInt(2)].request(
            gates.requestWithin(Duration.ofMillis(500)), this::recordAdmission);
      }
      gates.advance(tick);
    }
  }

  private void recordAdmission(Admission admission) {
    if (admission instanceof Admission.Admitted admitted) {
      admissions
          .computeIfAbsent(admitted.slot().target().target(), name -> new ArrayList<>())
          .add(gates.time.nanos());
      String target = admitted.slot().target().target();
      int running = inFlight.merge(target, 1, Integer::sum);
      assertTrue(running <= SLOTS_PER_TARGET, target + " runs " + running + " requests");
      gates.runAfter(Duration.ofMillis(100), () -> complete(admitted.slot()));
    }
  }

  private void complete(Admission.Slot slot) {
    inFlight.merge(slot.target().target(), -1, Integer::sum);
    slot.release(Admission.Completion.ANSWERED);
  }

  /** Compares every window that ends with a step with the window before it. */
  private static void assertCap(List<Long> times, int gain, int windowSeconds, String scope) {
    long stepNanos = windowSeconds * 1_000_000_000L / RateHistory.STEPS_PER_WINDOW;
    Map<Long, Integer> countPerStep = new HashMap<>();
    long lastStep = 0;
    for (long time : times) {
      countPerStep.merge(time / stepNanos, 1, Integer::sum);
      lastStep = Math.max(lastStep, time / stepNanos);
    }
    for (long end = 0; end <= lastStep + RateHistory.STEPS_PER_WINDOW; end++) {
      int window = 0;
      int previousWindow = 0;
      for (int back = 0; back < RateHistory.STEPS_PER_WINDOW; back++) {
        window += countPerStep.getOrDefault(end - back, 0);
        previousWindow += countPerStep.getOrDefault(end - back - RateHistory.STEPS_PER_WINDOW, 0);
      }
      assertTrue(
          window <= previousWindow + gain,
          scope + " admitted " + window + " after " + previousWindow + ", allowed gain " + gain);
    }
  }
}
