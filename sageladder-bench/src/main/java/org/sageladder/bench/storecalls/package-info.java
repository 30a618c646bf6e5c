/** How the calls to the platform grow with zones and with entry VMs. */
@NullMarked
package org.sageladder.bench.storecalls;

import org.jspecify.annotations.NullMarked;
