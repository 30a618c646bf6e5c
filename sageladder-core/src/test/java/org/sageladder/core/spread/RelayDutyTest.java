package org.sageladder.core.spread;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WriteResult;
import org.sageladder.core.time.VirtualTime;

class RelayDutyTest {
  private static final long SILENT = Duration.ofHours(1).toNanos();

  private final VirtualTime time = VirtualTime.startingAt(1_000);
  private final RelayElection duty =
      RelayElection.of(
          RelaySettings.standard(), time, "relays/k/tartu-a", "vm-1", 7, new SplittableRandom(1));

  @Test
  void claimsAFreeDutyAndIsFencedByTheRevisionOfItsClaim() {
    hold(41);
    assertEquals(RelayElection.State.HOLDING, duty.state());
    assertEquals(41, duty.fencingToken());
  }

  // The claim takes effect but its answer is lost. Without reading back, the VM would believe that
  // somebody else is relay while the store names it, and the zone would have no relay.
  @Test
  void recognisesItsOwnClaimWhoseAnswerWasLost() {
    readFreeAndGrant();
    ElectionCall.Claim claim = assertInstanceOf(ElectionCall.Claim.class, next());
    duty.onFailure();
    assertFalse(duty.isRelay());

    assertInstanceOf(ElectionCall.ReadOwner.class, next());
    duty.onOwnerRead(Optional.of(new StoredValue(claim.key(), 42, claim.value())));

    assertEquals(RelayElection.State.HOLDING, duty.state());
    assertEquals(42, duty.fencingToken());
  }

  // A VM restarts within its old lease's time. The key still names it, but with the old
  // incarnation;
  // taking that for its own claim, it would renew a lease that it does not have.
  @Test
  void doesNotTakeAnEarlierIncarnationsClaimForItsOwn() {
    next();
    duty.onOwnerRead(
        Optional.of(new StoredValue("relays/k/tartu-a", 40, "vm-1\n6".getBytes(UTF_8))));
    assertFalse(duty.isRelay());
  }

  // The relay is paused for longer than its lease. Another VM becomes relay meanwhile. On waking
  // the
  // old one must not go on as if it held the lease.
  @Test
  void pausedBeyondItsLeaseItIsLapsedAndStepsDownWhenTheStoreSaysSo() {
    hold(41);
    time.advance(Duration.ofSeconds(30));
    assertEquals(RelayElection.State.LAPSED, duty.state());
    assertInstanceOf(ElectionCall.Renew.class, next());
    duty.onRenewed(false);
    assertEquals(RelayElection.State.FOLLOWING, duty.state());
  }

  // The store is down for long. Nobody can take the duty, so the relay must go on, or the zone
  // would
  // stop replacing silent members exactly when it is on its own.
  @Test
  void goesOnWithoutLeaseWhileTheStoreIsDownAndRenewsAfterwards() {
    hold(41);
    for (int i = 0; i < 600; i++) {
      time.advance(Duration.ofSeconds(1));
      duty.nextCall(SILENT, 0, true).ifPresent(call -> duty.onFailure());
      assertTrue(duty.isRelay());
    }
    assertEquals(RelayElection.State.LAPSED, duty.state());
    time.advance(Duration.ofSeconds(5));
    next();
    duty.onRenewed(true);
    assertEquals(RelayElection.State.HOLDING, duty.state());
  }

  @Test
  void stepsDownWhenAViewOfALaterRelayIsSeen() {
    hold(41);
    duty.onViewSeen(41);
    assertTrue(duty.isRelay());
    duty.onViewSeen(43);
    assertFalse(duty.isRelay());
  }

  // The store is down and then the relay dies too. Without a stand-in the zone would keep the dead
  // VM's targets idle until the store is back.
  @Test
  void actsWithoutALeaseOnlyWhenRelayAndStoreAreBothOutOfReachForLong() {
    assertFalse(duty.actWithoutLeaseIfAbandoned(SILENT, 0, 40), "the store has not failed yet");
    next();
    duty.onFailure();
    assertFalse(
        duty.actWithoutLeaseIfAbandoned(SILENT, 0, 40), "the store has failed only just now");
    time.advance(Duration.ofSeconds(2));
    assertFalse(
        duty.actWithoutLeaseIfAbandoned(Duration.ofSeconds(2).toNanos(), 0, 40),
        "relay heard lately");
    assertFalse(
        duty.actWithoutLeaseIfAbandoned(Duration.ofSeconds(4).toNanos(), 2, 40),
        "two others come first");
    assertTrue(duty.actWithoutLeaseIfAbandoned(SILENT, 0, 40));
    assertEquals(RelayElection.State.ACTING, duty.state());
    duty.onRelayHeard();
    assertFalse(duty.isRelay());
  }

  // The store comes back after ten minutes. Tries that come in step from all zones would knock it
  // down again; the wait between two tries must have grown, and differ between processes.
  @Test
  void waitsLongerAndUnevenlyBetweenTriesWhileTheStoreIsDown() {
    int tries = 0;
    for (int i = 0; i < 6_000; i++) {
      time.advance(Duration.ofMillis(100));
      if (duty.nextCall(SILENT, 0, true).isPresent()) {
        tries++;
        duty.onFailure();
      }
    }
    assertTrue(tries > 100 && tries < 400, tries + " tries in ten minutes");
  }

  @Test
  void leavingOrUnreadyVmDoesNotTryForTheDuty() {
    time.advance(Duration.ofSeconds(1));
    assertTrue(duty.nextCall(SILENT, 0, false).isEmpty());
  }

  private ElectionCall next() {
    time.advance(Duration.ofSeconds(1));
    return duty.nextCall(SILENT, 0, true).orElseThrow();
  }

  private void readFreeAndGrant() {
    assertInstanceOf(ElectionCall.ReadOwner.class, next());
    duty.onOwnerRead(Optional.empty());
    assertInstanceOf(ElectionCall.Grant.class, next());
    duty.onGranted(99);
  }

  private void hold(long revision) {
    readFreeAndGrant();
    assertInstanceOf(ElectionCall.Claim.class, next());
    duty.onClaimed(new WriteResult.Written(revision));
  }
}
