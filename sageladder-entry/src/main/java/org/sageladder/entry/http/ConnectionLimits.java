package org.sageladder.entry.http;

import java.time.Duration;

/**
 * What one listening port grants to all its connections together and to each.
 *
 * @param workers threads that read, decide and write for all connections, at least 1
 * @param headBytes a request line or header longer than half of this is refused
 * @param connections most open connections; a further one is closed at once
 * @param idle a connection on which nothing moves for so long, and no request waits for its answer,
 *     is closed
 */
public record ConnectionLimits(int workers, int headBytes, int connections, Duration idle) {}
