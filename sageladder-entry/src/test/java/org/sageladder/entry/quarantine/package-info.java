/** Tests of the detection of requests that crash targets. */
@NullMarked
package org.sageladder.entry.quarantine;

import org.jspecify.annotations.NullMarked;
