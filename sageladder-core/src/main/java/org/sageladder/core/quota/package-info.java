/**
 * Quotas of workspaces that all entry VMs keep together: who counts, what is reported, when a
 * request may run. Decisions only, without a network.
 */
@NullMarked
package org.sageladder.core.quota;

import org.jspecify.annotations.NullMarked;
