/**
 * Stand-ins for the users' platform that speak its published protocol: store, targets, callers and
 * operator.
 *
 * <p>All of them run on a {@link org.sageladder.forward.Loop}, so that the same code works on
 * loopback and on a simulated network. They record what they observe in one {@link
 * org.sageladder.standin.platform.Ledger}, against which the platform's rules are checked.
 */
@NullMarked
package org.sageladder.standin.platform;

import org.jspecify.annotations.NullMarked;
