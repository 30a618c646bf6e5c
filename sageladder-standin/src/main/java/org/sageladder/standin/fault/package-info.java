/** Faults of the stand-ins, set directly as JSON or by a timed script. */
@NullMarked
package org.sageladder.standin.fault;

import org.jspecify.annotations.NullMarked;
