package org.sageladder.core.spread;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.sageladder.core.time.VirtualTime;

class InitialSnapshotTest {
  private final VirtualTime time = VirtualTime.startingAt(0);
  private final InitialSnapshot snapshot = InitialSnapshot.of(time, Duration.ofSeconds(1));

  @Test
  void isNeverCompleteWithoutStoreAndPeers() {
    snapshot.recordRequest("vm-2");
    time.advance(Duration.ofHours(1));
    assertFalse(snapshot.isComplete());
    assertTrue(snapshot.explanation().contains("neither the store nor a ready peer"));
  }

  // Guards against becoming ready without any state: a whole zone restarts during a store outage,
  // and the new VMs ask each other. If the empty answer of such a peer counted, all would become
  // ready and treat existing contracts as absent.
  @Test
  void answerOfPeerThatIsNotReadyDoesNotCount() {
    snapshot.recordRequest("vm-2");
    snapshot.recordPeerAnswer("vm-2", false);
    time.advance(Duration.ofHours(1));
    assertFalse(snapshot.isComplete());
  }

  // Guards against using an old revision while the store is down: the first peer to answer may be
  // behind. The VM waits for the other peers that it asked, but not for one that is dead.
  @Test
  void waitsForAllRequestedPeersOrPeerWait() {
    snapshot.recordRequest("vm-2");
    snapshot.recordRequest("vm-3");
    snapshot.recordPeerAnswer("vm-2", true);
    assertFalse(snapshot.isComplete());
    time.advance(Duration.ofMillis(999));
    assertFalse(snapshot.isComplete());
    time.advance(Duration.ofMillis(1));
    assertTrue(snapshot.isComplete());
  }

  @Test
  void isCompleteOnceStoreHasAnswered() {
    snapshot.recordRequest("vm-2");
    snapshot.recordStoreAnswer();
    assertTrue(snapshot.isComplete());
  }
}
