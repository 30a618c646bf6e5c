/** Small stand-ins that take the platform's and the targets' place in tests and trials. */
@NullMarked
package org.sageladder.standin;

import org.jspecify.annotations.NullMarked;
