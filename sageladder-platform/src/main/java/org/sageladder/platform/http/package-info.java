/** What sageladder's HTTP servers and clients need beyond the library. */
@NullMarked
package org.sageladder.platform.http;

import org.jspecify.annotations.NullMarked;
