/**
 * Routing rules: which requests a configuration allows, the services they go to and the limits on
 * callers. The rules are immutable; an entry VM applies them until it receives a newer version.
 */
@NullMarked
package org.sageladder.core.routing;

import org.jspecify.annotations.NullMarked;
