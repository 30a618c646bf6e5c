/** Access to the platform's list of VMs. */
@NullMarked
package org.sageladder.core.platform;

import org.jspecify.annotations.NullMarked;
