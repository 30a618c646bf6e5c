/** Measures the cost of the control plane for an entry VM in processor time, memory and bytes. */
@NullMarked
package org.sageladder.bench.controlcost;

import org.jspecify.annotations.NullMarked;
