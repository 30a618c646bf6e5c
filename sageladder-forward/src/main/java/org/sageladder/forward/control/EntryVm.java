package org.sageladder.forward.control;

import java.util.Optional;
import org.sageladder.forward.RelayPeer;

/**
 * An entry VM that callers may use.
 *
 * @param name its name
 * @param address host and port for callers
 * @param peerAddress host and port for datagrams of other VMs, or empty if it receives none
 * @param relayAddress host and port at which it serves requests of other VMs' callers, or empty
 * @param linkMbps rate of its network link in Mbit/s, or 0 if unknown
 * @param reachesTargets false if it reaches no target
 */
public record EntryVm(
    String name,
    String zone,
    String region,
    String address,
    String peerAddress,
    String relayAddress,
    double linkMbps,
    boolean reachesTargets) {
  /** The same VM, which reaches targets or not. */
  public EntryVm withReachesTargets(boolean newReachesTargets) {
    return new EntryVm(
        name, zone, region, address, peerAddress, relayAddress, linkMbps, newReachesTargets);
  }

  /** The VM as one that serves requests of other VMs' callers; empty if it serves none. */
  public Optional<RelayPeer> relayPeer() {
    int colon = relayAddress.lastIndexOf(':');
    if (colon < 0) {
      return Optional.empty();
    }
    return Optional.of(
        new RelayPeer(
            name,
            zone,
            region,
            relayAddress.substring(0, colon),
            Integer.parseInt(relayAddress.substring(colon + 1)),
            reachesTargets));
  }

  /** Host of {@link #peerAddress}. */
  public String peerHost() {
    return peerAddress.substring(0, peerAddress.lastIndexOf(':'));
  }

  /** Port of {@link #peerAddress}. */
  public int peerPort() {
    return Integer.parseInt(peerAddress.substring(peerAddress.lastIndexOf(':') + 1));
  }
}
