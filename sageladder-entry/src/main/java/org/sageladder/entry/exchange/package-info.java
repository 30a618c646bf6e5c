/** Streaming of one request and its answer between a caller, this entry VM and a target. */
@NullMarked
package org.sageladder.entry.exchange;

import org.jspecify.annotations.NullMarked;
