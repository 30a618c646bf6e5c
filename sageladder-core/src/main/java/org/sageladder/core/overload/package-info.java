/** Which requests are sent, wait or are refused while targets have too few slots for all. */
@NullMarked
package org.sageladder.core.overload;

import org.jspecify.annotations.NullMarked;
