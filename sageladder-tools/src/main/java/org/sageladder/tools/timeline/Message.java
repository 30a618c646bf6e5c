package org.sageladder.tools.timeline;

/**
 * A message between two processes, identified by its send event and its receive event.
 *
 * @param sender index of the sending process
 * @param sendIndex index of the send event among the sender's events
 * @param receiver index of the receiving process
 * @param receiveIndex index of the receive event among the receiver's events
 */
public record Message(int sender, int sendIndex, int receiver, int receiveIndex) {}
