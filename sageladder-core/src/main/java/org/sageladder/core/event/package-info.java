/** Events of the time line. */
@NullMarked
package org.sageladder.core.event;

import org.jspecify.annotations.NullMarked;
