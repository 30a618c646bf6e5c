/** Measures whether large background downloads complete while interactive callers are served. */
@NullMarked
package org.sageladder.bench.background;

import org.jspecify.annotations.NullMarked;
