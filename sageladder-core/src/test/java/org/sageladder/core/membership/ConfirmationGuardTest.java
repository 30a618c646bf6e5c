package org.sageladder.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.sageladder.core.time.VirtualTime;

class ConfirmationGuardTest {
  private static final Holding THREE_SLOTS =
      new Holding("t-1", "k", "search", "127.0.0.1", 1, 1, "vm-1", 3, false);

  private final VirtualTime time = VirtualTime.startingAt(0);
  private final ConfirmationGuard guard = ConfirmationGuard.of(MembershipSettings.standard(), time);

  @Test
  void allowsNothingBeforeTheFirstConfirmation() {
    assertEquals(0, guard.usableSlots(THREE_SLOTS));
    guard.onConfirmed(time.nanos());
    assertEquals(3, guard.usableSlots(THREE_SLOTS));
  }

  // Guards against using slots that the relay assigns to another VM: heartbeats leave and no answer
  // arrives. The confirmation window starts when the last confirmed heartbeat was sent.
  @Test
  void allowsHalfOnceUnconfirmedForTheWindow() {
    long sent = time.nanos();
    run(Duration.ofMillis(2_400));
    guard.onConfirmed(sent);
    assertEquals(3, guard.usableSlots(THREE_SLOTS));
    run(Duration.ofMillis(200));
    assertEquals(2, guard.usableSlots(THREE_SLOTS));
    guard.onConfirmed(time.nanos());
    assertEquals(3, guard.usableSlots(THREE_SLOTS));
  }

  // Guards against dispatching after a pause, during which the targets were assigned to other VMs.
  // A request worker may run before the control thread does and must not dispatch.
  @Test
  void pausedVmDispatchesNothingUntilConfirmedAgain() {
    guard.onConfirmed(time.nanos());
    long sentBefore = time.nanos();
    time.advance(Duration.ofMinutes(1));
    assertEquals(0, guard.usableSlots(THREE_SLOTS), "before the control thread runs");
    guard.tick();
    assertEquals(0, guard.usableSlots(THREE_SLOTS), "after it has run");
    guard.onConfirmed(sentBefore);
    assertEquals(0, guard.usableSlots(THREE_SLOTS), "answer to a heartbeat sent before the pause");
    guard.onConfirmed(time.nanos());
    assertEquals(3, guard.usableSlots(THREE_SLOTS));
  }

  // After a pause the VM is cut off from its zone, while its targets still answer.
  @Test
  void cutOffVmServesWithRetainedSlotsAfterPause() {
    guard.onConfirmed(time.nanos());
    time.advance(Duration.ofMinutes(1));
    run(Duration.ofMillis(2_400));
    assertEquals(0, guard.usableSlots(THREE_SLOTS));
    run(Duration.ofMillis(300));
    assertEquals(2, guard.usableSlots(THREE_SLOTS));
  }

  @Test
  void retainedAndTakeOverSlotsAddUpToAllSlots() {
    for (int slots = 0; slots < 50; slots++) {
      assertEquals(
          slots, ConfirmationGuard.retainedSlots(slots) + ConfirmationGuard.takeOverSlots(slots));
    }
  }

  @Test
  void rejectsTakeOverTimeoutShorterThanWindowPlusPause() {
    Duration second = Duration.ofSeconds(1);
    assertThrows(
        IllegalArgumentException.class,
        () -> new MembershipSettings(second, second, second, second, second, 1));
  }

  private void run(Duration length) {
    for (long i = 0; i < length.toMillis() / 50; i++) {
      time.advance(Duration.ofMillis(50));
      guard.tick();
    }
  }
}
