/** Events of one process as JSON, as the operators' port serves them. */
@NullMarked
package org.sageladder.platform.event;

import org.jspecify.annotations.NullMarked;
