/**
 * Chooses the target on which a request runs. Holds an entry VM's estimates of the state of targets
 * and chooses among these by object, load, network distance and cold start. It has no network
 * access and no clock of its own: each call gets the time, in milliseconds of a monotonic clock.
 *
 * <p>All of it belongs to one thread, the one that handles the requests, and uses no locks.
 */
@NullMarked
package org.sageladder.core.placing;

import org.jspecify.annotations.NullMarked;
