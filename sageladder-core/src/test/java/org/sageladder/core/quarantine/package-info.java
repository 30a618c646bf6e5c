/** Tests of quarantine. */
@NullMarked
package org.sageladder.core.quarantine;

import org.jspecify.annotations.NullMarked;
