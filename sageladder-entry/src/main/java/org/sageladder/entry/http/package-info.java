/** The callers' and the operators' HTTP servers. */
@NullMarked
package org.sageladder.entry.http;

import org.jspecify.annotations.NullMarked;
