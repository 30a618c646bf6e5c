/** Measures executions per permit while responses are lost and processes are killed and paused. */
@NullMarked
package org.sageladder.bench.atmostonce;

import org.jspecify.annotations.NullMarked;
