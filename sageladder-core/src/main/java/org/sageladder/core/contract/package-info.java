/** Contracts: what an operator promises one customer, and the limits that follow. */
@NullMarked
package org.sageladder.core.contract;

import org.jspecify.annotations.NullMarked;
