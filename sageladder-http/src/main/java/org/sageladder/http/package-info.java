/**
 * Pooled HTTP connections, shared by the platform's clients, the callers' library and the daemon.
 */
@NullMarked
package org.sageladder.http;

import org.jspecify.annotations.NullMarked;
