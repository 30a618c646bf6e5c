/**
 * Simulations of steering and admission limits on a virtual clock, compared with naive policies.
 */
@NullMarked
package org.sageladder.bench.policy;

import org.jspecify.annotations.NullMarked;
