package org.sageladder.tools.load;

/**
 * The verdict on one checked property.
 *
 * @param measured measured value as text
 * @param required required value as text
 */
public record CheckResult(String name, boolean holds, String measured, String required) {}
