/** Executions per permit under lost answers, deaths and pauses. */
@NullMarked
package org.sageladder.bench.atmostonce;

import org.jspecify.annotations.NullMarked;
