package org.sageladder.core.routing;

/**
 * One of the services among which the requests of a route are divided.
 *
 * @param service name of the service
 * @param weight relative weight; the service gets this weight over the sum of the route's weights
 */
public record ServiceShare(String service, int weight) {}
