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

  // A whole zone restarts during a store outage; the fresh VMs ask each other. If a fresh peer's
  // empty answer counted, all would be ready with nothing and serve unknown contracts as absent.
  @Test
  void answerOfPeerThatIsNotReadyDoesNotCount() {
    snapshot.recordRequest("vm-2");
    snapshot.recordPeerAnswer("vm-2", false);
    time.advance(Duration.ofHours(1));
    assertFalse(snapshot.isComplete());
  }

  // Store down, peers at mixed revisions: the first to answer may be the one that lags. The VM
  // waits
  // for the others it asked, but not for one that is dead.
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
