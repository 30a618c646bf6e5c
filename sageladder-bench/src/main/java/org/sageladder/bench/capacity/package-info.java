/** Slopes from which docs/CAPACITY.md works out each role at the target size. */
@NullMarked
package org.sageladder.bench.capacity;

import org.jspecify.annotations.NullMarked;
