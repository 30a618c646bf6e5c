/** Admission control: gates, queues, shift caps, rate limits and retry budgets. */
@NullMarked
package org.sageladder.core.limits;

import org.jspecify.annotations.NullMarked;
