/**
 * Stand-ins of the users' platform by its published protocol: store, targets, callers, operator.
 *
 * <p>All of them run on a {@link org.sageladder.forward.Loop}, so that the same code serves on
 * loopback and on a simulated network. What they saw is written into one {@link
 * org.sageladder.standin.platform.Ledger}, by which the platform's rules are checked.
 */
@NullMarked
package org.sageladder.standin.platform;

import org.jspecify.annotations.NullMarked;
