/** Measures the time until an accepted contract is in force on every entry VM. */
@NullMarked
package org.sageladder.bench.spread;

import org.jspecify.annotations.NullMarked;
