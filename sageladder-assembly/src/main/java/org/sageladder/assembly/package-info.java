/** The whole system with stand-ins of the platform and the targets, in one process. */
@NullMarked
package org.sageladder.assembly;

import org.jspecify.annotations.NullMarked;
