/** Recording of events, from which the time line of a request or a fault is put together. */
@NullMarked
package org.sageladder.core.event;

import org.jspecify.annotations.NullMarked;
