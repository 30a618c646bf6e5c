/** Stand-in for a target: slots, service times, load and health reports, faults. */
@NullMarked
package org.sageladder.standin.target;

import org.jspecify.annotations.NullMarked;
