/** Numbered result codes and the three outcomes a request can have. */
@NullMarked
package org.sageladder.core.result;

import org.jspecify.annotations.NullMarked;
