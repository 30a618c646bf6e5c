/** Quarantine of requests that crash the targets they run on. */
@NullMarked
package org.sageladder.core.quarantine;

import org.jspecify.annotations.NullMarked;
