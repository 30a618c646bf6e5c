/** Contracts as operators write them (YAML) and as the platform's store keeps them. */
@NullMarked
package org.sageladder.platform.contract;

import org.jspecify.annotations.NullMarked;
