/** Measures how the calls to the platform grow with the number of zones and of entry VMs. */
@NullMarked
package org.sageladder.bench.storecalls;

import org.jspecify.annotations.NullMarked;
