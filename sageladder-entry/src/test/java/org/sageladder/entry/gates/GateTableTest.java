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

/** One target moves between the gates of entry VMs; the requests it is given are counted here. */
class GateTableTest {
  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final Duration HALF_WINDOW = Duration.ofSeconds(5);
  private static final int LINK_LIMIT_PER_SECOND = 20;
  private static final int STEPS_PER_WINDOW = 10;

  /** 4 slots of 100 ms carry 40 a second; a gain of a tenth of that over 10 s is 40 requests. */
  private static final int GAIN_PER_WINDOW = 40;

  private final VirtualTime time = VirtualTime.startingAt(1_000_000_000_000L);
  private final GateTable first = table("vm-1", 1);
  private final GateTable second = table("vm-2", 1);
  private final List<TargetHistory> sentHistories = new ArrayList<>();
  private final List<Integer> admittedPerStep = new ArrayList<>();
  private int admittedInStep;

  GateTableTest() {
    first.useHistorySender((holder, view, history) -> sentHistories.add(history));
    second.useHistorySender((holder, view, history) -> sentHistories.add(history));
  }

  // An entry VM joins a zone in a surge and gets a target that has just grown by all that its cap
  // allows. The new gate counts from nothing and would let it grow by the same once more within
  // the same window: a cold cache behind it gets twice the shift that the contract promises.
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
        "the new gate must begin after one window, in all " + totalAdmitted());
  }

  // The same move, and the history arrives: nobody waits, and the cap holds over both gates.
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
        admittedPerStep.get(admittedPerStep.size() - 1) > 0,
        "no wait is needed: " + admittedPerStep);
    overload(WINDOW.multipliedBy(3), first, second);
    assertCapKept();
  }

  // Operators restart entry VMs one by one. Each that joins gets targets of its neighbour that had
  // nothing to do just then; of these the neighbour told nothing, since it had forgotten them the
  // moment they were taken from it, and their callers were refused for a whole window.
  @Test
  void idleTargetMovesWithoutWait() {
    applyToBoth(view(1, "vm-1"));
    applyToBoth(view(2, ""));
    applyToBoth(view(3, "vm-2"));
    assertEquals(1, sentHistories.size());
    second.acceptHistory(3, sentHistories.get(0));
    overload(Duration.ofSeconds(1), first, second);
    assertTrue(totalAdmitted() > 0, "no wait is needed: " + admittedPerStep);
    overload(WINDOW.multipliedBy(2), first, second);
    assertCapKept();
  }

  // Three entry VMs of a zone start one after the other, and a target that somebody may have used
  // goes from hand to hand. Each began a wait of a whole window anew: the first seconds of a fresh
  // zone, or of each rolling restart, were refused.
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
    assertTrue(totalAdmitted() > 0, "the wait of the first gate is over: " + admittedPerStep);
  }

  // The message overtakes the view that names the new holder. Thrown away it would cost a window.
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
    assertTrue(totalAdmitted() >= 3 * GAIN_PER_WINDOW, "waited all the same: " + admittedPerStep);
  }

  // The target goes to another VM and comes back, and a history of the first move arrives late. It
  // says nothing of what the other VM did since, so it must not end the wait.
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

  // An entry VM's process dies and its successor of the same name gets the targets back before the
  // zone missed it. It has forgotten what it let through a second ago.
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
        totalAdmitted() > 2 * GAIN_PER_WINDOW, "the new process must begin after one window");
  }

  @Test
  void targetWithoutPreviousHolderIsServedAtOnce() {
    applyToBoth(view(1, ""));
    applyToBoth(view(2, "vm-1"));
    overload(Duration.ofSeconds(1), first);
    assertTrue(totalAdmitted() > 0);
  }

  // Tables of many callers are seconds old and still send them over a link that others fill. What
  // steering reckons with does not hold the link's limit then; the gates at its end must.
  @Test
  void gatesTogetherAdmitNoMoreThanTheLinkLimit() {
    ClusterState shared = state(1, holding("t-1", "vm-1"), holding("t-2", "vm-2"));
    applyToBoth(shared);
    int passed = 0;
    for (int milli = 0; milli < 10_000; milli++) {
      passed +=
          first.linkLimiter().admitOrRefuse("far", RequestClass.INTERACTIVE).isEmpty() ? 1 : 0;
      passed +=
          second.linkLimiter().admitOrRefuse("far", RequestClass.INTERACTIVE).isEmpty() ? 1 : 0;
      time.advance(Duration.ofMillis(1));
    }
    assertTrue(passed <= 11 * LINK_LIMIT_PER_SECOND, "a second's worth and 10 s: " + passed);
    assertTrue(passed >= 10 * LINK_LIMIT_PER_SECOND, "the link must be used: " + passed);
    assertTrue(
        first.linkLimiter().admitOrRefuse("r", RequestClass.BACKGROUND).isEmpty(), "own region");
    assertTrue(
        first.linkLimiter().admitOrRefuse("", RequestClass.BACKGROUND).isEmpty(), "not known");
  }

  /** Gives the gates more requests than they may take, and ends each with a whole answer. */
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
