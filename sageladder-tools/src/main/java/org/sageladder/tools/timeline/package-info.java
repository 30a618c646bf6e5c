/** {@code sageladder-timeline}: merges the events of all processes into one ordered time line. */
@NullMarked
package org.sageladder.tools.timeline;

import org.jspecify.annotations.NullMarked;
