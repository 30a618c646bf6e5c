/**
 * Plays days of a whole deployment in one process on virtual time: the real entry VMs against
 * stand-ins of the platform, with troubles drawn from a seed, judged by the platform's rules.
 */
@NullMarked
package org.sageladder.scenario;

import org.jspecify.annotations.NullMarked;
