/**
 * How contracts, zone views and summaries reach every entry VM, as state machines without I/O.
 *
 * <p>Everything that is spread is an {@link org.sageladder.core.spread.Item} with a version. A
 * {@link org.sageladder.core.spread.VersionedTable} keeps the highest version of each key, so
 * messages may be lost, repeated or reordered and nothing ever goes back.
 */
@NullMarked
package org.sageladder.core.spread;

import org.jspecify.annotations.NullMarked;
