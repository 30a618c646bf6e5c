/** The entry daemon: its main class and the assembly of its components. */
@NullMarked
package org.sageladder.entry;

import org.jspecify.annotations.NullMarked;
