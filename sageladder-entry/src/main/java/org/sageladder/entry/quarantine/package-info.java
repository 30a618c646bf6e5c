/** Detection of requests that crash targets, shared with the other entry VMs. */
@NullMarked
package org.sageladder.entry.quarantine;

import org.jspecify.annotations.NullMarked;
