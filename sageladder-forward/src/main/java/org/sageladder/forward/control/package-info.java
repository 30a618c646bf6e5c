/**
 * Synchronizes an entry VM with the platform's store: reads rules, targets, evacuated zones and the
 * other entry VMs, and publishes its own entry and crashes. Keeps the last good state during
 * outages and never reverts to an older one.
 */
@NullMarked
package org.sageladder.forward.control;

import org.jspecify.annotations.NullMarked;
