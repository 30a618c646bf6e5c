package org.sageladder.tools.load;

/**
 * Verdict on one property.
 *
 * @param measured what was found, in words
 * @param required what had to hold
 */
public record CheckResult(String name, boolean holds, String measured, String required) {}
