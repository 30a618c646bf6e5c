/** Gates, queues, caps on shifts and retry budgets. */
@NullMarked
package org.sageladder.core.limits;

import org.jspecify.annotations.NullMarked;
