/** Permits: at most one execution of a request that must not repeat. */
@NullMarked
package org.sageladder.core.permit;

import org.jspecify.annotations.NullMarked;
