/** The platform's rules, each judged by what callers, targets and the operator saw. */
@NullMarked
package org.sageladder.scenario.rule;

import org.jspecify.annotations.NullMarked;
