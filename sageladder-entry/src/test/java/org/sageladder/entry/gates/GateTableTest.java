package org.sageladder.entry.gates;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.RequestClass;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.AdmissionRequest;
import org.sageladder.core.limits.ServiceGate;
import org.sageladder.core.limits.TargetHistory;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.time.VirtualTime;

/**
 * A target moves between the gates of two entry VMs, and the requests that both admit to it are
 * counted.
 */
class GateTableTest {
  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final Duration HALF_WINDOW = Duration.ofSeconds(5);
  private static final int LINK_LIMIT_PER_SECOND = 20;
  private static final int STEPS_PER_WINDOW = 10;

  /**
   * 4 slots of 100 ms serve 40 requests per second; a gain of a tenth of that over 10 s is 40
   * requests.
   */
  private static final int GAIN_PER_WINDOW = 40;

  private final VirtualTime time = VirtualTime.startingAt(1_000_000_000_000L);
  private final GateTable first = table("vm-1", 1);
  private final GateTable second = table("vm-2", 1);
  private final List<TargetHistory> sentHistories = new ArrayList<>();
  private final List<Integer> admittedPerStep = new ArrayList<>();
  private int admittedInStep;

  GateTableTest() {
    first.useHistorySender((holder, viewNumber, history) -> sentHistories.add(history));
    second.useHistorySender((holder, viewNumber, history) -> sentHistories.add(history));
  }

  // An entry VM joins the zone during a surge and gets a target that has just used the full gain
  // of its shift cap. The new gate starts counting from zero and would admit the same gain again
  // within one window, twice the shift that the contract allows to a cold cache.
  @Test
  void targetWithLostHistoryGetsNoSecondGain() {
    applyToBoth(view(1, "vm-1"));
    overload(HALF_WINDOW, first);
    applyToBoth(view(2, ""));
    applyToBoth(view(3, "vm-2"));
    overload(WINDOW.multipliedBy(4), first, second);
    assertCapKept();
    assertTrue(
        totalAdmitted() > 3 * GAIN_PER_WINDOW,
        "the new gate must admit requests after one window, in total " + totalAdmitted());
  }

  // The same move with a history that arrives: the new gate need not wait, and the cap holds over
  // both gates.
  @Test
  void targetWithReceivedHistoryIsServedAtOnce() {
    applyToBoth(view(1, "vm-1"));
    overload(WINDOW.multipliedBy(2), first);
    applyToBoth(view(2, ""));
    applyToBoth(view(3, "vm-2"));
    assertEquals(1, sentHistories.size());
    second.acceptHistory(3, sentHistories.get(0));
    second.acceptHistory(3, sentHistories.get(0));
    overload(Duration.ofSeconds(1), first, second);
    assertTrue(
        admittedPerStep.get(admittedPerStep.size() - 1) > 0, "must not wait: " + admittedPerStep);
    overload(WINDOW.multipliedBy(3), first, second);
    assertCapKept();
  }

  // In a rolling restart, each entry VM that joins gets targets that were idle at its neighbour.
  // The neighbour dropped their counts as soon as it lost them and sent no history, so requests to
  // them were refused for a full window.
  @Test
  void idleTargetMovesWithoutWait() {
    applyToBoth(view(1, "vm-1"));
    applyToBoth(view(2, ""));
    applyToBoth(view(3, "vm-2"));
    assertEquals(1, sentHistories.size());
    second.acceptHistory(3, sentHistories.get(0));
    overload(Duration.ofSeconds(1), first, second);
    assertTrue(totalAdmitted() > 0, "must not wait: " + admittedPerStep);
    overload(WINDOW.multipliedBy(2), first, second);
    assertCapKept();
  }

  // Three entry VMs of a zone start one after the other, and a target that may have been in use
  // moves from one to the next. Each move restarted the wait of a full window, so the first
  // seconds of a new zone or of each rolling restart were refused.
  @Test
  void waitsOfSeveralMovesDoNotAddUp() {
    first.applyState(view(1, "vm-0"));
    first.applyState(view(2, ""));
    first.applyState(view(3, "vm-1"));
    second.applyState(view(3, "vm-1"));
    time.advance(HALF_WINDOW);
    applyToBoth(view(4, ""));
    applyToBoth(view(5, "vm-2"));
    assertEquals(1, sentHistories.size());
    second.acceptHistory(5, sentHistories.get(0));
    time.advance(HALF_WINDOW.plusSeconds(1));
    overload(Duration.ofSeconds(1), second);
    assertTrue(totalAdmitted() > 0, "the wait of the first gate has ended: " + admittedPerStep);
  }

  // The history arrives before the view that names the new holder. Dropping it would cost a wait of
  // one window.
  @Test
  void historyReceivedBeforeTheViewIsKept() {
    applyToBoth(view(1, "vm-1"));
    overload(WINDOW, first);
    first.applyState(view(2, ""));
    first.applyState(view(3, "vm-2"));
    second.acceptHistory(3, sentHistories.get(0));
    second.applyState(view(1, "vm-1"));
    second.applyState(view(3, "vm-2"));
    overload(WINDOW.multipliedBy(2), first, second);
    assertCapKept();
    assertTrue(totalAdmitted() >= 3 * GAIN_PER_WINDOW, "must not wait: " + admittedPerStep);
  }

  // The target moves to another VM and back, and a history of the first move arrives late. It says
  // nothing about what the other VM admitted since, so it must not end the wait.
  @Test
  void historyOfAnEarlierMoveDoesNotEndTheWait() {
    applyToBoth(view(1, "vm-1"));
    overload(WINDOW, first);
    applyToBoth(view(2, ""));
    applyToBoth(view(3, "vm-2"));
    second.acceptHistory(3, sentHistories.get(0));
    overload(WINDOW, second);
    TargetHistory early = sentHistories.get(0);
    applyToBoth(view(4, ""));
    applyToBoth(view(5, "vm-1"));
    second.acceptHistory(3, early);
    first.acceptHistory(3, early);
    overload(Duration.ofSeconds(1), first, second);
    assertEquals(
        0, admittedPerStep.get(admittedPerStep.size() - 1), "must wait: " + admittedPerStep);
    overload(WINDOW.multipliedBy(2), first, second);
    assertCapKept();
  }

  // The process of an entry VM crashes, and the new process of the same name gets the targets back
  // before the zone notices. It has no record of what the old process admitted a second ago.
  @Test
  void restartedEntryVmGetsNoSecondGain() {
    applyToBoth(view(1, "vm-1"));
    overload(HALF_WINDOW, first);
    GateTable restarted = table("vm-1", 2);
    restarted.applyState(view(1, "vm-1"));
    overload(Duration.ofSeconds(1), restarted);
    restarted.applyState(view(2, "vm-1", 2));
    overload(WINDOW.multipliedBy(3), restarted);
    assertCapKept();
    assertTrue(
        totalAdmitted() > 2 * GAIN_PER_WINDOW,
        "the new process must admit requests after one window");
  }

  @Test
  void targetWithoutPreviousHolderIsServedAtOnce() {
    applyToBoth(view(1, ""));
    applyToBoth(view(2, "vm-1"));
    overload(Duration.ofSeconds(1), first);
    assertTrue(totalAdmitted() > 0);
  }

  // Callers with look-ups that are seconds old still send requests over a link that others fill.
  // Steering cannot hold the link limit then, so the gates at the end of the link must.
  @Test
  void gatesTogetherAdmitNoMoreThanTheLinkLimit() {
    ClusterState sharedTargets = state(1, holding("t-1", "vm-1"), holding("t-2", "vm-2"));
    applyToBoth(sharedTargets);
    int admittedCount = 0;
    for (int milli = 0; milli < 10_000; milli++) {
      admittedCount +=
          first.linkLimiter().admitOrRefuse("far", RequestClass.INTERACTIVE).isEmpty() ? 1 : 0;
      admittedCount +=
          second.linkLimiter().admitOrRefuse("far", RequestClass.INTERACTIVE).isEmpty() ? 1 : 0;
      time.advance(Duration.ofMillis(1));
    }
    assertTrue(
        admittedCount <= 11 * LINK_LIMIT_PER_SECOND, "a burst of 1 s plus 10 s: " + admittedCount);
    assertTrue(
        admittedCount >= 10 * LINK_LIMIT_PER_SECOND, "the link must be used: " + admittedCount);
    assertTrue(
        first.linkLimiter().admitOrRefuse("r", RequestClass.BACKGROUND).isEmpty(), "own region");
    assertTrue(
        first.linkLimiter().admitOrRefuse("", RequestClass.BACKGROUND).isEmpty(), "unknown region");
  }

  /** Offers the gates more requests than they may admit, and completes each admitted one. */
  private void overload(Duration length, GateTable... tables) {
    long steps = length.toMillis() / 1000;
    for (long step = 0; step < steps; step++) {
      for (int tenth = 0; tenth < 10; tenth++) {
        for (GateTable table : tables) {
          offerRequests(table);
        }
        time.advance(Duration.ofMillis(100));
      }
      admittedPerStep.add(admittedInStep);
      admittedInStep = 0;
    }
  }

  private void offerRequests(GateTable table) {
    ServiceGate gate = table.gateWithTargets("s");
    if (gate == null) {
      return;
    }
    List<Admission.Slot> slots = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      AdmissionRequest request = new AdmissionRequest("r", time.nanos() + 1, "", "");
      gate.request(request, admission -> countAdmission(admission, slots)).cancel();
    }
    slots.forEach(slot -> slot.release(Admission.Completion.ANSWERED));
  }

  private void countAdmission(Admission admission, List<Admission.Slot> slots) {
    if (admission instanceof Admission.Admitted admitted) {
      slots.add(admitted.slot());
      admittedInStep++;
    }
  }

  private int totalAdmitted() {
    return admittedPerStep.stream().mapToInt(Integer::intValue).sum();
  }

  private void assertCapKept() {
    for (int end = 0; end < admittedPerStep.size(); end++) {
      int recent = admittedInWindow(end);
      int before = admittedInWindow(end - STEPS_PER_WINDOW);
      assertTrue(
          recent <= before + GAIN_PER_WINDOW,
          recent + " after " + before + " at " + end + " of " + admittedPerStep);
    }
  }

  private int admittedInWindow(int end) {
    int sum = 0;
    for (int step = Math.max(0, end - STEPS_PER_WINDOW + 1); step <= end; step++) {
      sum += admittedPerStep.get(step);
    }
    return sum;
  }

  private void applyToBoth(ClusterState state) {
    first.applyState(state);
    second.applyState(state);
  }

  private GateTable table(String vm, long incarnation) {
    return GateTable.create(
        vm,
        "z",
        "c",
        time,
        incarnation,
        service -> ServiceGate.create("c", service, time, (delay, task) -> {}, EventSink.none()));
  }

  private static ClusterState view(long number, String holder) {
    return view(number, holder, 1);
  }

  private static ClusterState view(long number, String holder, long firstIncarnation) {
    List<Member> members =
        List.of(
            new Member("vm-1", "z", firstIncarnation, "127.0.0.1", 1, 2, false),
            new Member("vm-2", "z", 1, "127.0.0.1", 3, 4, false));
    return state(number, members, holding("t", holder));
  }

  private static Holding holding(String target, String holder) {
    return new Holding(
        target, "c", "s", "127.0.0.1", 5, 1, holder, holder.isEmpty() ? 0 : 4, false);
  }

  private static ClusterState state(long number, Holding... holdings) {
    return state(number, List.of(), holdings);
  }

  private static ClusterState state(long number, List<Member> members, Holding... holdings) {
    ZoneView view = new ZoneView("z", number, members, List.of(holdings));
    return new ClusterState(Map.of("c", contract()), Map.of("z", view), List.of());
  }

  private static Contract contract() {
    Contract.ShiftCap cap = new Contract.ShiftCap(0.1, WINDOW);
    Contract.Service service =
        new Contract.Service(
            "s",
            RequestClass.INTERACTIVE,
            true,
            1,
            4,
            100,
            100,
            4,
            Duration.ofSeconds(1),
            Duration.ofSeconds(10),
            Duration.ofSeconds(30),
            0.1,
            cap,
            cap);
    return new Contract(
        "c",
        1,
        List.of(new Contract.Region("r", List.of("z")), new Contract.Region("far", List.of("y"))),
        new Contract.Delays(1, 20, 1),
        List.of(new Contract.ClientBlocks(0, 0, "r")),
        List.of(new Contract.LinkLimit("far", "r", LINK_LIMIT_PER_SECOND)),
        List.of(service));
  }
}
