package org.sageladder.forward.control;

/**
 * An entry VM that callers may be sent to.
 *
 * @param name its name
 * @param address host and port of its callers' port
 * @param peerAddress host and port where it takes datagrams of other VMs, or empty where it takes
 *     none
 */
public record EntryVm(String name, String zone, String region, String address, String peerAddress) {
  /** Host of {@link #peerAddress}. */
  public String peerHost() {
    return peerAddress.substring(0, peerAddress.lastIndexOf(':'));
  }

  /** Port of {@link #peerAddress}. */
  public int peerPort() {
    return Integer.parseInt(peerAddress.substring(peerAddress.lastIndexOf(':') + 1));
  }
}
