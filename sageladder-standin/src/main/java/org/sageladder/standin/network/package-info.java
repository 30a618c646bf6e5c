/**
 * A network of simulated hosts on virtual time that runs the real forwarding code.
 *
 * <p>Everything runs on one thread, a {@link org.sageladder.standin.network.VirtualLoop}, so the
 * same seed gives the same run, regardless of the speed and load of the machine.
 */
@NullMarked
package org.sageladder.standin.network;

import org.jspecify.annotations.NullMarked;
