/**
 * Simulates days of a whole deployment in one process on virtual time. The real entry VMs run
 * against stand-ins of the platform while troubles chosen by a seed are injected, and the result is
 * checked against the platform's rules.
 */
@NullMarked
package org.sageladder.scenario;

import org.jspecify.annotations.NullMarked;
