package org.sageladder.tools.timeline;

/**
 * A message between two processes, known by an event at each end.
 *
 * @param from index of the sending process
 * @param sent index of the sending event among that process's events
 * @param to index of the receiving process
 * @param received index of the receiving event among that process's events
 */
public record Message(int from, int sent, int to, int received) {}
