/** Small blocking calls to the operators' ports of entry VMs and to stand-ins. */
@NullMarked
package org.sageladder.tools.http;

import org.jspecify.annotations.NullMarked;
