/** Fleets of entry VM processes with a store stand-in, for benchmarks of their interaction. */
@NullMarked
package org.sageladder.bench.fleet;

import org.jspecify.annotations.NullMarked;
