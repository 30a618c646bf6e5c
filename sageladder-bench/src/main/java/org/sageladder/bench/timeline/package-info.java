/** Measures the cost of recording one event of the timeline. */
@NullMarked
package org.sageladder.bench.timeline;

import org.jspecify.annotations.NullMarked;
