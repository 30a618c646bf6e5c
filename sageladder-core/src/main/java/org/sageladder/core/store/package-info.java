/** The operations that sageladder needs of the platform's key-value store. */
@NullMarked
package org.sageladder.core.store;

import org.jspecify.annotations.NullMarked;
