/** The HTTP servers for callers and for operators. */
@NullMarked
package org.sageladder.entry.http;

import org.jspecify.annotations.NullMarked;
