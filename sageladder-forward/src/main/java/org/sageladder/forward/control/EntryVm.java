package org.sageladder.forward.control;

/**
 * An entry VM that callers may be sent to.
 *
 * @param name its name
 * @param address host and port of its callers' port
 */
public record EntryVm(String name, String zone, String region, String address) {}
