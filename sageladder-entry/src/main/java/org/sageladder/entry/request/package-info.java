/** Request processing: validation, permits, admission, dispatch and responses. */
@NullMarked
package org.sageladder.entry.request;

import org.jspecify.annotations.NullMarked;
