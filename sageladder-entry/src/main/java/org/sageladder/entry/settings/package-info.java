/** Settings of the entry daemon. */
@NullMarked
package org.sageladder.entry.settings;

import org.jspecify.annotations.NullMarked;
