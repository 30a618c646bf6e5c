/** Membership of entry VMs and targets, zone views, and the cluster state that steering reads. */
@NullMarked
package org.sageladder.core.membership;

import org.jspecify.annotations.NullMarked;
