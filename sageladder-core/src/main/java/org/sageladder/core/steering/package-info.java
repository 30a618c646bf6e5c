/** Decides which zone and entry VM serve a caller. */
@NullMarked
package org.sageladder.core.steering;

import org.jspecify.annotations.NullMarked;
