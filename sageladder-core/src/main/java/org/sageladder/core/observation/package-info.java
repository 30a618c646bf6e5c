/** What the entry VMs of a zone observe of targets, and how they share it. */
@NullMarked
package org.sageladder.core.observation;

import org.jspecify.annotations.NullMarked;
