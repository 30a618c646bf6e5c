/** Entry VMs as real processes, with the store and the targets in the process that starts them. */
@NullMarked
package org.sageladder.bench.cluster;

import org.jspecify.annotations.NullMarked;
