/** Requests that crash the targets that run them. */
@NullMarked
package org.sageladder.core.quarantine;

import org.jspecify.annotations.NullMarked;
