/** {@code sageladder-timeline}: one ordered line of events from all processes. */
@NullMarked
package org.sageladder.tools.timeline;

import org.jspecify.annotations.NullMarked;
