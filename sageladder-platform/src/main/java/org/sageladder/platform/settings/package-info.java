/** Typed access to YAML settings files, with one error message for each mistake. */
@NullMarked
package org.sageladder.platform.settings;

import org.jspecify.annotations.NullMarked;
