/** How this entry VM learns of contracts, members and targets. */
@NullMarked
package org.sageladder.entry.control;

import org.jspecify.annotations.NullMarked;
