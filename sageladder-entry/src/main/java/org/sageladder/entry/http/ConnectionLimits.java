package org.sageladder.entry.http;

import java.time.Duration;

/**
 * What one listening port grants to all its connections together and to each.
 *
 * @param workerThreads threads that read, decide and write for all connections, at least 1
 * @param maxHeadBytes a request line or header longer than half of this is refused
 * @param maxConnections most open connections; a further one is closed at once
 * @param idleTimeout a connection on which nothing moves for so long, and no request waits for its
 *     answer, is closed
 */
public record ConnectionLimits(
    int workerThreads, int maxHeadBytes, int maxConnections, Duration idleTimeout) {}
