/** What the way through an entry VM costs over a direct call, and what permits cost in memory. */
@NullMarked
package org.sageladder.bench.path;

import org.jspecify.annotations.NullMarked;
