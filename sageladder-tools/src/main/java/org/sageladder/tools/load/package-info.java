/** {@code sageladder-load}: open-loop experiments that check what sageladder promises. */
@NullMarked
package org.sageladder.tools.load;

import org.jspecify.annotations.NullMarked;
