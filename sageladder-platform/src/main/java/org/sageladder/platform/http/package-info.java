/** Extensions of the HTTP library for sageladder's servers and clients. */
@NullMarked
package org.sageladder.platform.http;

import org.jspecify.annotations.NullMarked;
