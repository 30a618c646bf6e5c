/**
 * {@code sageladder-load}: runs open-loop load experiments and checks the guarantees of sageladder.
 */
@NullMarked
package org.sageladder.tools.load;

import org.jspecify.annotations.NullMarked;
