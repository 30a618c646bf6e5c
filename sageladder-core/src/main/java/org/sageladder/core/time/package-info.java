/** Time sources, so that tests run on a virtual clock. */
@NullMarked
package org.sageladder.core.time;

import org.jspecify.annotations.NullMarked;
