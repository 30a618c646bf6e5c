package org.sageladder.core.routing;

/**
 * One of the services among which a route's requests are divided.
 *
 * @param service name of the service
 * @param weight its part; only the ratio to the route's other weights has meaning
 */
public record ServiceShare(String service, int weight) {}
