/** The platform's rules, each checked against what callers, targets and the operator observed. */
@NullMarked
package org.sageladder.scenario.rule;

import org.jspecify.annotations.NullMarked;
