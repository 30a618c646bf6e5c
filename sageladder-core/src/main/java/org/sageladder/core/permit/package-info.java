/** Permits: at-most-once execution of requests that must not be repeated. */
@NullMarked
package org.sageladder.core.permit;

import org.jspecify.annotations.NullMarked;
