/** Stand-in for the platform's key-value service and its list of VMs. */
@NullMarked
package org.sageladder.standin.store;

import org.jspecify.annotations.NullMarked;
