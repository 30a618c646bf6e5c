/** Finding out which requests crash targets, and telling the other entry VMs. */
@NullMarked
package org.sageladder.entry.quarantine;

import org.jspecify.annotations.NullMarked;
