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

  // Guards against a zone without a relay: the claim takes effect but its answer is lost. Without
  // reading the key back, the VM would assume that another VM is the relay while the store names
  // this one.
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

  // Guards against renewing a lease that this VM does not have: it restarts while the lease of its
  // earlier incarnation is valid, so the key still names it, with the old incarnation.
  @Test
  void doesNotAcceptClaimOfEarlierIncarnation() {
    nextCall();
    election.onOwnerRead(
        Optional.of(new StoredValue("relays/k/tartu-a", 40, "vm-1\n6".getBytes(UTF_8))));
    assertFalse(election.isRelay());
  }

  // Guards against a relay that continues as lease holder after a pause longer than its lease, in
  // which another VM has become relay.
  @Test
  void stepsDownAfterPauseBeyondLease() {
    becomeRelay(41);
    time.advance(Duration.ofSeconds(30));
    assertEquals(RelayElection.State.LAPSED, election.state());
    assertInstanceOf(ElectionCall.Renew.class, nextCall());
    election.onRenewed(false);
    assertEquals(RelayElection.State.FOLLOWING, election.state());
  }

  // While the store is down, no other VM can become relay. So the relay must continue, or silent
  // members would not be replaced exactly when the zone is isolated.
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

  // While the store is down, the relay dies too. Unless another VM acts as relay, the dead VM's
  // targets stay idle until the store is back.
  @Test
  void actsWithoutLeaseOnlyIfRelayAndStoreAreUnreachable() {
    assertFalse(
        election.actWithoutLeaseIfAbandoned(SILENT_NANOS, 0, 40), "the store has not failed yet");
    nextCall();
    election.onFailure();
    assertFalse(
        election.actWithoutLeaseIfAbandoned(SILENT_NANOS, 0, 40),
        "the store has been failing for too short a time");
    time.advance(Duration.ofSeconds(2));
    assertFalse(
        election.actWithoutLeaseIfAbandoned(Duration.ofSeconds(2).toNanos(), 0, 40),
        "the relay has sent a message recently");
    assertFalse(
        election.actWithoutLeaseIfAbandoned(Duration.ofSeconds(4).toNanos(), 2, 40),
        "two other VMs have a higher rank");
    assertTrue(election.actWithoutLeaseIfAbandoned(SILENT_NANOS, 0, 40));
    assertEquals(RelayElection.State.ACTING, election.state());
    election.onRelayMessage();
    assertFalse(election.isRelay());
  }

  // Guards against overloading the store when it comes back after ten minutes: the wait between
  // attempts must have grown, and must differ between processes.
  @Test
  void backsOffWhileStoreIsDown() {
    int attempts = 0;
    for (int i = 0; i < 6_000; i++) {
      time.advance(Duration.ofMillis(100));
      if (election.nextCall(SILENT_NANOS, 0, true).isPresent()) {
        attempts++;
        election.onFailure();
      }
    }
    assertTrue(attempts > 100 && attempts < 400, attempts + " attempts in ten minutes");
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
