/** Structured logs. */
@NullMarked
package org.sageladder.entry.log;

import org.jspecify.annotations.NullMarked;
