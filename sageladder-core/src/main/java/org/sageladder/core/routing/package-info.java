/**
 * Which requests a configuration allows, to which services they go and what callers may send: the
 * immutable rules that an entry VM follows until it sees a newer version.
 */
@NullMarked
package org.sageladder.core.routing;

import org.jspecify.annotations.NullMarked;
