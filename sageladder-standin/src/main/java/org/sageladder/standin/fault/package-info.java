/** Faults of the stand-ins as JSON, at once or by a script. */
@NullMarked
package org.sageladder.standin.fault;

import org.jspecify.annotations.NullMarked;
