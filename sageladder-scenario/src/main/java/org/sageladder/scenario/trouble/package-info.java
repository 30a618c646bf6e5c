/**
 * The troubles that can be injected into a fleet, by name. Each records in the simulated day what
 * it affects and for how long.
 */
@NullMarked
package org.sageladder.scenario.trouble;

import org.jspecify.annotations.NullMarked;
