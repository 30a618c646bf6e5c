/** Measures the recovery from the loss of a zone and from a store outage. */
@NullMarked
package org.sageladder.bench.recovery;

import org.jspecify.annotations.NullMarked;
