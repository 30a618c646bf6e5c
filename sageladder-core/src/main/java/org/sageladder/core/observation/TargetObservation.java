package org.sageladder.core.observation;

import org.jspecify.annotations.Nullable;
import org.sageladder.core.placing.LoadReport;

/**
 * What one response of a target showed.
 *
 * @param targetHash hash of the target's incarnation
 * @param object hash of the object that the target has run; 0 if it ran none
 * @param load load that the target reported in the response, or null
 * @param observedAtMillis when the response arrived, by the clock of this process
 */
public record TargetObservation(
    int targetHash, long object, @Nullable LoadReport load, long observedAtMillis) {}
