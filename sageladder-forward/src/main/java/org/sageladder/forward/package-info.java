/**
 * Carries callers' requests to targets over HTTP/1.1: framing, connections, tries, timeouts and
 * answers. What decides where a request goes is in {@code core.placing}; how headers are named is
 * told by a {@link org.sageladder.forward.Dialect}.
 *
 * <p>One event loop carries everything, so that its tables need no lock and a small VM no second
 * stack. Nothing here may block.
 */
@NullMarked
package org.sageladder.forward;

import org.jspecify.annotations.NullMarked;
