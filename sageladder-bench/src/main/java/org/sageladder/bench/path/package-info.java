/** Measures the latency that an entry VM adds to a direct call, and the memory use of permits. */
@NullMarked
package org.sageladder.bench.path;

import org.jspecify.annotations.NullMarked;
