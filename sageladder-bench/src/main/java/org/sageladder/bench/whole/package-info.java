/** Whole answers, each to its own caller, under delay, truncation and abandoned exchanges. */
@NullMarked
package org.sageladder.bench.whole;

import org.jspecify.annotations.NullMarked;
