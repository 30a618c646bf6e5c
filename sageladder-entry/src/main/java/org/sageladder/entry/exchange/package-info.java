/** Streaming of requests and responses between a caller, this entry VM and a target. */
@NullMarked
package org.sageladder.entry.exchange;

import org.jspecify.annotations.NullMarked;
