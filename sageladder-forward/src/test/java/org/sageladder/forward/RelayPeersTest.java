package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RelayPeersTest {
  private static final RelayPeer SAME_ZONE = peer("near", "z", "r", true);
  private static final RelayPeer SAME_REGION = peer("middle", "z2", "r", true);
  private static final RelayPeer OTHER_REGION = peer("far", "z3", "r2", true);
  private static final RelayPeer CUT_OFF = peer("a-cut-off", "z", "r", false);

  private final RelayPeers peers = new RelayPeers("z", "r");

  private static RelayPeer peer(String name, String zone, String region, boolean reachesTargets) {
    return new RelayPeer(name, zone, region, "10.0.0.1", 80, reachesTargets);
  }

  private String choose(Set<String> tried, long now) {
    return peers.choose(region -> true, tried, now).map(RelayPeer::name).orElse("none");
  }

  @Test
  void nearestThatReachesTargetsIsChosen() {
    peers.update(List.of(CUT_OFF, OTHER_REGION, SAME_REGION, SAME_ZONE));
    assertEquals("near", choose(Set.of(), 0));
    assertEquals("middle", choose(Set.of("near"), 0));
    assertEquals("far", choose(Set.of("near", "middle"), 0));
    assertEquals("none", choose(Set.of("near", "middle", "far"), 0));
  }

  @Test
  void loadSpreadsToPeersFartherAway() {
    peers.update(List.of(SAME_ZONE, SAME_REGION));
    for (int i = 0; i < 12; i++) {
      peers.recordStart(SAME_ZONE);
    }
    assertEquals("middle", choose(Set.of(), 0));
  }

  @Test
  void avoidedPeerIsUsedAgainLater() {
    peers.update(List.of(SAME_ZONE, SAME_REGION));
    peers.recordRefusal(SAME_ZONE, 0);
    assertEquals("middle", choose(Set.of(), 500));
    assertEquals("near", choose(Set.of(), 1_500));
  }

  /** Guards against requests refused since the last processes of restarted VMs were unreachable. */
  @Test
  void unreachablePeerIsUsedOnceItRegistersAgain() {
    peers.update(List.of(SAME_ZONE, SAME_REGION));
    peers.recordUnreachable(SAME_ZONE, 0);
    peers.recordUnreachable(SAME_REGION, 0);
    peers.recordRegistered("middle");
    assertEquals("middle", choose(Set.of(), 500));
    assertEquals("none", choose(Set.of("middle"), 500));
  }

  @Test
  void onlyAllowedRegionsAreUsed() {
    peers.update(List.of(SAME_ZONE, OTHER_REGION));
    assertEquals(OTHER_REGION, peers.choose("r2"::equals, Set.of(), 0).orElseThrow());
  }
}
