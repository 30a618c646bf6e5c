/** Planned stops of an entry VM. */
@NullMarked
package org.sageladder.entry.stop;

import org.jspecify.annotations.NullMarked;
