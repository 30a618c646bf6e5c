/** Reading of settings files: typed access to YAML with one clear error for each mistake. */
@NullMarked
package org.sageladder.platform.settings;

import org.jspecify.annotations.NullMarked;
