/** Messages between entry VMs, exchanged as datagrams that may be lost. */
@NullMarked
package org.sageladder.forward.peer;

import org.jspecify.annotations.NullMarked;
