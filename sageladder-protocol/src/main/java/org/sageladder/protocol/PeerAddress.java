package org.sageladder.protocol;

/**
 * Where an entry VM takes the inner protocol.
 *
 * @param vm its name; empty for a seed whose name is not known yet
 */
public record PeerAddress(String vm, String host, int port) {}
