/** HTTP server support shared by the stand-ins. */
@NullMarked
package org.sageladder.standin.http;

import org.jspecify.annotations.NullMarked;
