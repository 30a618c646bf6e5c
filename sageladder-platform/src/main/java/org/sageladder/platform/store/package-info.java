/** Clients of the platform's key-value service and VM list, over HTTP and JSON. */
@NullMarked
package org.sageladder.platform.store;

import org.jspecify.annotations.NullMarked;
