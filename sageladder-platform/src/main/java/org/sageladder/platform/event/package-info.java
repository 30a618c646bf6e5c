/** JSON format in which the operators' port serves the events of a process. */
@NullMarked
package org.sageladder.platform.event;

import org.jspecify.annotations.NullMarked;
