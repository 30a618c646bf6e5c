/** Tests of planned stops. */
@NullMarked
package org.sageladder.entry.stop;

import org.jspecify.annotations.NullMarked;
