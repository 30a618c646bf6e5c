package org.sageladder.protocol;

/**
 * The address at which an entry VM accepts connections of the inner protocol.
 *
 * @param vm name of the entry VM; empty for a seed whose name is not known yet
 */
public record PeerAddress(String vm, String host, int port) {}
