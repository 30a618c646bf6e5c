/** Entry VMs, targets, zone views and the state that steering reads. */
@NullMarked
package org.sageladder.core.membership;

import org.jspecify.annotations.NullMarked;
