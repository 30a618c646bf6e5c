/** Benchmarks; each has an executable of its name in the folder bench. */
@NullMarked
package org.sageladder.bench;

import org.jspecify.annotations.NullMarked;
