/** What sageladder needs of the platform's key-value service. */
@NullMarked
package org.sageladder.core.store;

import org.jspecify.annotations.NullMarked;
