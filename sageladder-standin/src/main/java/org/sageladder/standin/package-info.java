/** Test doubles of the platform and the targets, for tests and experiments. */
@NullMarked
package org.sageladder.standin;

import org.jspecify.annotations.NullMarked;
