/** What can be done to a fleet, by name; each notes in the day whom it touches and for how long. */
@NullMarked
package org.sageladder.scenario.trouble;

import org.jspecify.annotations.NullMarked;
