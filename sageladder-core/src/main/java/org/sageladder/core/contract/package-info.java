/**
 * Contracts: the service that an operator guarantees one customer, and the limits derived from it.
 */
@NullMarked
package org.sageladder.core.contract;

import org.jspecify.annotations.NullMarked;
