package org.sageladder.entry.http;

import java.time.Duration;

/**
 * Limits of one listening port and its connections.
 *
 * @param workerThreads number of threads that serve all connections, at least 1
 * @param maxHeadBytes size limit of a request head; a request line or header longer than half of
 *     this is refused
 * @param maxConnections maximum number of open connections; further ones are closed at once
 * @param idleTimeout time without traffic after which a connection is closed, unless a request
 *     awaits its response
 */
public record ConnectionLimits(
    int workerThreads, int maxHeadBytes, int maxConnections, Duration idleTimeout) {}
