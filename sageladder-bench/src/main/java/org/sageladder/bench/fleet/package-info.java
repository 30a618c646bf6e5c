/** Real entry VM processes with a store stand-in, for benchmarks of how they act together. */
@NullMarked
package org.sageladder.bench.fleet;

import org.jspecify.annotations.NullMarked;
