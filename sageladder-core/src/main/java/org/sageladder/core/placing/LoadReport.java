package org.sageladder.core.placing;

/**
 * A target's load as it reports it in an answer.
 *
 * @param running requests that run
 * @param waiting requests that wait at the target
 * @param slots requests that it can run concurrently
 */
public record LoadReport(int running, int waiting, int slots) {}
