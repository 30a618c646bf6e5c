/**
 * Propagation of contracts, zone views, notices and summaries to every entry VM, as state machines
 * without I/O.
 *
 * <p>Everything that is propagated is an {@link org.sageladder.core.spread.Item} with a version. A
 * {@link org.sageladder.core.spread.VersionedTable} keeps the highest version of each key, so
 * messages may be lost, repeated or reordered and no key returns to a lower version.
 */
@NullMarked
package org.sageladder.core.spread;

import org.jspecify.annotations.NullMarked;
