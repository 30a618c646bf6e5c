/**
 * Forwards callers' requests to targets over HTTP/1.1: message framing, connections, attempts,
 * timeouts and responses. Which target a request goes to is decided in {@code core.placing}; a
 * {@link org.sageladder.forward.Dialect} defines the names of headers.
 *
 * <p>A single event loop runs everything, so that tables need no locks and a small VM needs no
 * second thread stack. Nothing in this package may block.
 */
@NullMarked
package org.sageladder.forward;

import org.jspecify.annotations.NullMarked;
