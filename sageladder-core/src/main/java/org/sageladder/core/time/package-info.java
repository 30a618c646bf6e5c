/** Time sources: the system clocks, and a virtual clock for tests. */
@NullMarked
package org.sageladder.core.time;

import org.jspecify.annotations.NullMarked;
