package org.sageladder.tools.timeline;

/**
 * A message between two processes, known by an event at each end.
 *
 * @param sender index of the sending process
 * @param sendIndex index of the sending event among that process's events
 * @param receiver index of the receiving process
 * @param receiveIndex index of the receiving event among that process's events
 */
public record Message(int sender, int sendIndex, int receiver, int receiveIndex) {}
