/** Runs the whole system in one process, with stand-ins for the platform and the targets. */
@NullMarked
package org.sageladder.assembly;

import org.jspecify.annotations.NullMarked;
