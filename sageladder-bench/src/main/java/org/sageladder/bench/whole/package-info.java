/**
 * Checks that each caller gets the complete response to its own request despite delays, truncation
 * and abandoned exchanges.
 */
@NullMarked
package org.sageladder.bench.whole;

import org.jspecify.annotations.NullMarked;
