/**
 * Days of a deployment on real sockets and clocks: each entry VM is a process of its own that gets
 * signals, and the stand-ins of store, targets and callers share one event loop.
 */
@NullMarked
package org.sageladder.scenario.process;

import org.jspecify.annotations.NullMarked;
