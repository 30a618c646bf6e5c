/** The HTTP edge that the stand-ins share. */
@NullMarked
package org.sageladder.standin.http;

import org.jspecify.annotations.NullMarked;
