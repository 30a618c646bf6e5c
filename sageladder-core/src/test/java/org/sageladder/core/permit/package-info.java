/** Tests of permits. */
@NullMarked
package org.sageladder.core.permit;

import org.jspecify.annotations.NullMarked;
