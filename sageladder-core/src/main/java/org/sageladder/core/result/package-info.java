/** Numbered result codes and the three possible outcomes of a request. */
@NullMarked
package org.sageladder.core.result;

import org.jspecify.annotations.NullMarked;
