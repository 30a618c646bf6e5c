/** Measures the slopes from which docs/CAPACITY.md extrapolates each role to the target size. */
@NullMarked
package org.sageladder.bench.capacity;

import org.jspecify.annotations.NullMarked;
