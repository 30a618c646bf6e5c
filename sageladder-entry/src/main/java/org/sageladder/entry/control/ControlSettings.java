package org.sageladder.entry.control;

import java.time.Duration;
import java.util.List;
import org.sageladder.core.membership.Member;
import org.sageladder.protocol.PeerAddress;

/**
 * Settings of the control plane of this entry VM.
 *
 * @param self this VM, with the ports on which peers and callers reach it
 * @param seeds inner-protocol addresses of peers to contact first; their names may be empty
 * @param listFetchInterval interval between two fetches of the platform's list while this VM is
 *     relay
 */
public record ControlSettings(
    String customer, Member self, List<PeerAddress> seeds, Duration listFetchInterval) {
  /** Copies the list. */
  public ControlSettings {
    seeds = List.copyOf(seeds);
  }
}
