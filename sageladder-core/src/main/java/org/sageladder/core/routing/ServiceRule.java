package org.sageladder.core.routing;

/**
 * What the operator says of one service's targets.
 *
 * @param name name of the service
 * @param maxConnections connections that one target accepts from all callers together
 * @param coldMillis how long a target stays cold after its start
 * @param maxColdRequestsPerSecond requests a second that a cold target bears
 */
public record ServiceRule(
    String name, int maxConnections, long coldMillis, double maxColdRequestsPerSecond) {}
