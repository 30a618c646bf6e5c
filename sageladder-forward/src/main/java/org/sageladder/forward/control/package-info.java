/**
 * What an entry VM learns from the platform's store and tells it: rules, targets, emptied zones and
 * the other entry VMs. Keeps the last good state through outages and never goes back to an older
 * one.
 */
@NullMarked
package org.sageladder.forward.control;

import org.jspecify.annotations.NullMarked;
