/** Compares ways to divide the request rate of one target among entry VMs. */
@NullMarked
package org.sageladder.bench.targetrate;

import org.jspecify.annotations.NullMarked;
