/**
 * On which target a request is to run: what an entry VM believes of the targets, and the choice
 * among them by object, load, distance and cold start. No network and no clock of its own: each
 * call is told the time, in milliseconds of a steady clock.
 *
 * <p>All of it belongs to one thread, the one that carries the requests, and takes no lock.
 */
@NullMarked
package org.sageladder.core.placing;

import org.jspecify.annotations.NullMarked;
