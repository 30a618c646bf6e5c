/** Steering and limits on a virtual clock, measured against naive versions. */
@NullMarked
package org.sageladder.bench.policy;

import org.jspecify.annotations.NullMarked;
