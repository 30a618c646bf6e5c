/** The gates of this entry VM and the targets that they admit requests to. */
@NullMarked
package org.sageladder.entry.gates;

import org.jspecify.annotations.NullMarked;
