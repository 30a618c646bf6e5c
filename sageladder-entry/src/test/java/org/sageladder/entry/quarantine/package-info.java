/** Tests of finding out which requests crash targets. */
@NullMarked
package org.sageladder.entry.quarantine;

import org.jspecify.annotations.NullMarked;
