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

class RelayElectionTest {
  private static final long SILENT_NANOS = Duration.ofHours(1).toNanos();

  private final VirtualTime time = VirtualTime.startingAt(1_000);
  private final RelayElection election =
      RelayElection.of(
          RelaySettings.standard(), time, "relays/k/tartu-a", "vm-1", 7, new SplittableRandom(1));

  @Test
  void claimsFreeKeyAndUsesRevisionAsFencingToken() {
    becomeRelay(41);
    assertEquals(RelayElection.State.HOLDING, election.state());
    assertEquals(41, election.fencingToken());
  }

  // The claim takes effect but its answer is lost. Without reading back, the VM would believe that
  // somebody else is relay while the store names it, and the zone would have no relay.
  @Test
  void recognisesOwnClaimAfterLostAnswer() {
    readFreeAndGrant();
    ElectionCall.Claim claim = assertInstanceOf(ElectionCall.Claim.class, nextCall());
    election.onFailure();
    assertFalse(election.isRelay());

    assertInstanceOf(ElectionCall.ReadOwner.class, nextCall());
    election.onOwnerRead(Optional.of(new StoredValue(claim.key(), 42, claim.value())));

    assertEquals(RelayElection.State.HOLDING, election.state());
    assertEquals(42, election.fencingToken());
  }

  // A VM restarts within its old lease's time. The key still names it, but with the old
  // incarnation;
  // taking that for its own claim, it would renew a lease that it does not have.
  @Test
  void doesNotAcceptClaimOfEarlierIncarnation() {
    nextCall();
    election.onOwnerRead(
        Optional.of(new StoredValue("relays/k/tartu-a", 40, "vm-1\n6".getBytes(UTF_8))));
    assertFalse(election.isRelay());
  }

  // The relay is paused for longer than its lease. Another VM becomes relay meanwhile. On waking
  // the
  // old one must not go on as if it held the lease.
  @Test
  void stepsDownAfterPauseBeyondLease() {
    becomeRelay(41);
    time.advance(Duration.ofSeconds(30));
    assertEquals(RelayElection.State.LAPSED, election.state());
    assertInstanceOf(ElectionCall.Renew.class, nextCall());
    election.onRenewed(false);
    assertEquals(RelayElection.State.FOLLOWING, election.state());
  }

  // The store is down for long. Nobody can take the duty, so the relay must go on, or the zone
  // would
  // stop replacing silent members exactly when it is on its own.
  @Test
  void remainsRelayWhileStoreIsDownAndRenewsAfterwards() {
    becomeRelay(41);
    for (int i = 0; i < 600; i++) {
      time.advance(Duration.ofSeconds(1));
      election.nextCall(SILENT_NANOS, 0, true).ifPresent(call -> election.onFailure());
      assertTrue(election.isRelay());
    }
    assertEquals(RelayElection.State.LAPSED, election.state());
    time.advance(Duration.ofSeconds(5));
    nextCall();
    election.onRenewed(true);
    assertEquals(RelayElection.State.HOLDING, election.state());
  }

  @Test
  void stepsDownOnViewWithHigherFencingToken() {
    becomeRelay(41);
    election.onViewSeen(41);
    assertTrue(election.isRelay());
    election.onViewSeen(43);
    assertFalse(election.isRelay());
  }

  // The store is down and then the relay dies too. Without a stand-in the zone would keep the dead
  // VM's targets idle until the store is back.
  @Test
  void actsWithoutLeaseOnlyIfRelayAndStoreAreUnreachable() {
    assertFalse(
        election.actWithoutLeaseIfAbandoned(SILENT_NANOS, 0, 40), "the store has not failed yet");
    nextCall();
    election.onFailure();
    assertFalse(
        election.actWithoutLeaseIfAbandoned(SILENT_NANOS, 0, 40),
        "the store has failed only just now");
    time.advance(Duration.ofSeconds(2));
    assertFalse(
        election.actWithoutLeaseIfAbandoned(Duration.ofSeconds(2).toNanos(), 0, 40),
        "relay heard lately");
    assertFalse(
        election.actWithoutLeaseIfAbandoned(Duration.ofSeconds(4).toNanos(), 2, 40),
        "two others come first");
    assertTrue(election.actWithoutLeaseIfAbandoned(SILENT_NANOS, 0, 40));
    assertEquals(RelayElection.State.ACTING, election.state());
    election.onRelayMessage();
    assertFalse(election.isRelay());
  }

  // The store comes back after ten minutes. Tries that come in step from all zones would knock it
  // down again; the wait between two tries must have grown, and differ between processes.
  @Test
  void backsOffWhileStoreIsDown() {
    int tries = 0;
    for (int i = 0; i < 6_000; i++) {
      time.advance(Duration.ofMillis(100));
      if (election.nextCall(SILENT_NANOS, 0, true).isPresent()) {
        tries++;
        election.onFailure();
      }
    }
    assertTrue(tries > 100 && tries < 400, tries + " tries in ten minutes");
  }

  @Test
  void ineligibleVmMakesNoCall() {
    time.advance(Duration.ofSeconds(1));
    assertTrue(election.nextCall(SILENT_NANOS, 0, false).isEmpty());
  }

  private ElectionCall nextCall() {
    time.advance(Duration.ofSeconds(1));
    return election.nextCall(SILENT_NANOS, 0, true).orElseThrow();
  }

  private void readFreeAndGrant() {
    assertInstanceOf(ElectionCall.ReadOwner.class, nextCall());
    election.onOwnerRead(Optional.empty());
    assertInstanceOf(ElectionCall.Grant.class, nextCall());
    election.onGranted(99);
  }

  private void becomeRelay(long revision) {
    readFreeAndGrant();
    assertInstanceOf(ElectionCall.Claim.class, nextCall());
    election.onClaimed(new WriteResult.Written(revision));
  }
}
