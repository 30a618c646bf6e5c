/** Checks that no entry VM puts a lower revision in force after a higher one. */
@NullMarked
package org.sageladder.bench.reverts;

import org.jspecify.annotations.NullMarked;
