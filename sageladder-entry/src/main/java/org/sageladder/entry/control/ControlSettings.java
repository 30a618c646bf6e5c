package org.sageladder.entry.control;

import java.time.Duration;
import java.util.List;
import org.sageladder.core.membership.Member;
import org.sageladder.protocol.PeerAddress;

/**
 * What the control plane must know of this entry VM.
 *
 * @param self this VM, with the ports that peers and callers reach it on
 * @param seeds inner addresses of peers to try first; their names may be empty
 * @param listFetchInterval time between two fetches of the platform's list while relaying
 */
public record ControlSettings(
    String customer, Member self, List<PeerAddress> seeds, Duration listFetchInterval) {
  /** Copies the list. */
  public ControlSettings {
    seeds = List.copyOf(seeds);
  }
}
