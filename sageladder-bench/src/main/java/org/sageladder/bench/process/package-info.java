/** Real entry daemons with stand-ins for the platform and the targets, for whole-system runs. */
@NullMarked
package org.sageladder.bench.process;

import org.jspecify.annotations.NullMarked;
