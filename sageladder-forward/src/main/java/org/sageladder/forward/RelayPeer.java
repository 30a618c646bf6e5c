package org.sageladder.forward;

/**
 * Another entry VM that serves requests for this one.
 *
 * @param name its name
 * @param host host of its port for other entry VMs
 * @param port that port
 * @param reachesTargets false if it said that it reaches no target itself
 */
public record RelayPeer(
    String name, String zone, String region, String host, int port, boolean reachesTargets) {}
