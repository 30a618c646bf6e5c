package org.sageladder.core.observation;

import org.sageladder.core.placing.LoadReport;

/**
 * What one response of a target showed.
 *
 * @param targetHash hash of the target's incarnation
 * @param object hash of the object that the target has run; 0 if it ran none
 * @param load load that the target reported in the response
 * @param observedAtMillis when the response arrived, by the clock of this process
 */
public record TargetObservation(
    long targetHash, long object, LoadReport load, long observedAtMillis) {}
