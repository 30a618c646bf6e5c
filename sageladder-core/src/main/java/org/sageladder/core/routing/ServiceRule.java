package org.sageladder.core.routing;

/**
 * The operator's settings for the targets of one service.
 *
 * @param name name of the service
 * @param maxConnections connections that one target accepts from all callers together
 * @param coldMillis time for which a target stays cold after its start
 * @param maxColdRequestsPerSecond requests per second that a cold target can handle
 */
public record ServiceRule(
    String name, int maxConnections, long coldMillis, double maxColdRequestsPerSecond) {}
