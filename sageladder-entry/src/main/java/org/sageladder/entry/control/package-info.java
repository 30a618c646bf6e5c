/** The control plane of an entry VM: contracts, membership and target holdings. */
@NullMarked
package org.sageladder.entry.control;

import org.jspecify.annotations.NullMarked;
