/** What one event of the time line costs. */
@NullMarked
package org.sageladder.bench.timeline;

import org.jspecify.annotations.NullMarked;
