/** The gates of this entry VM and the targets they hold. */
@NullMarked
package org.sageladder.entry.gates;

import org.jspecify.annotations.NullMarked;
