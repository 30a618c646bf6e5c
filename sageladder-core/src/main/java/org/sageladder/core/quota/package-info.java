/**
 * Workspace quotas that all entry VMs enforce together: which VM counts, what is reported and when
 * a request may run. Contains the decisions only, no networking.
 */
@NullMarked
package org.sageladder.core.quota;

import org.jspecify.annotations.NullMarked;
