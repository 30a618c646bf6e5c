/** Measures planned stops of targets and entry VMs under load. */
@NullMarked
package org.sageladder.bench.drain;

import org.jspecify.annotations.NullMarked;
