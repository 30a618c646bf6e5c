/** What holds for the messages that are passed on, whatever library reads and writes them. */
@NullMarked
package org.sageladder.core.message;

import org.jspecify.annotations.NullMarked;
