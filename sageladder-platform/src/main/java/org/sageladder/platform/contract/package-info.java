/**
 * Formats of contracts, as YAML files of operators and as values in the platform's store, and
 * changes of contracts.
 */
@NullMarked
package org.sageladder.platform.contract;

import org.jspecify.annotations.NullMarked;
