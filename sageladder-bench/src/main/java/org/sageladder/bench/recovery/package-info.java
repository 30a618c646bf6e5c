/** How long it takes to recover from a lost zone and a store outage. */
@NullMarked
package org.sageladder.bench.recovery;

import org.jspecify.annotations.NullMarked;
