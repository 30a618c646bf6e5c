package org.sageladder.core.observation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Which peers have fallen silent, and which of them were heard again. */
final class PeerSilence {
  private final long silentAfterMillis;
  private final Map<String, Long> lastHeardMillis = new HashMap<>();
  private final Set<String> silent = new LinkedHashSet<>();
  private final Set<String> heardAgain = new LinkedHashSet<>();

  PeerSilence(long silentAfterMillis) {
    this.silentAfterMillis = silentAfterMillis;
  }

  void retain(Collection<String> peers) {
    lastHeardMillis.keySet().retainAll(peers);
    silent.retainAll(peers);
    heardAgain.retainAll(peers);
  }

  void recordHeard(String peer, long nowMillis) {
    lastHeardMillis.put(peer, nowMillis);
    if (silent.remove(peer)) {
      heardAgain.add(peer);
    }
  }

  /** Starts to measure silence anew, since this VM may have missed digests or sent none. */
  void restart(long nowMillis) {
    lastHeardMillis.replaceAll((peer, heardMillis) -> nowMillis);
  }

  /** Returns the peers that have fallen silent since the last call. */
  List<String> takeNewlySilent(long nowMillis) {
    List<String> newlySilent = new ArrayList<>();
    lastHeardMillis.forEach(
        (peer, heardMillis) -> {
          if (nowMillis - heardMillis > silentAfterMillis && silent.add(peer)) {
            newlySilent.add(peer);
          }
        });
    return newlySilent;
  }

  /** Returns the peers that were silent and have been heard again since the last call. */
  List<String> takeHeardAgain() {
    List<String> peers = List.copyOf(heardAgain);
    heardAgain.clear();
    return peers;
  }
}
