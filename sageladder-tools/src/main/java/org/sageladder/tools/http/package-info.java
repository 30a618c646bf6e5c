/** Blocking HTTP client for the operators' ports of entry VMs and for stand-ins. */
@NullMarked
package org.sageladder.tools.http;

import org.jspecify.annotations.NullMarked;
