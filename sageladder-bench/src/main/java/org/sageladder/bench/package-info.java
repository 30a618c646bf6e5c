/** Benchmarks; each has an executable of the same name in the directory {@code bench}. */
@NullMarked
package org.sageladder.bench;

import org.jspecify.annotations.NullMarked;
