/**
 * A network of simulated hosts on virtual time, for playing the real forwarding code.
 *
 * <p>Everything runs on one thread, a {@link org.sageladder.standin.network.VirtualLoop}: the same
 * seed gives the same day, however fast or busy the machine is that plays it.
 */
@NullMarked
package org.sageladder.standin.network;

import org.jspecify.annotations.NullMarked;
