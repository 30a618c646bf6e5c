/** The entry daemon: look-ups, gates and the path of each request. */
@NullMarked
package org.sageladder.entry;

import org.jspecify.annotations.NullMarked;
