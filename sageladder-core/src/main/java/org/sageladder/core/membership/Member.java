package org.sageladder.core.membership;

/**
 * One entry VM as its zone's view names it.
 *
 * @param incarnation grows with each start of the VM; permits and slots belong to an incarnation
 * @param isDraining true once it has begun a planned stop; never undone within an incarnation
 */
public record Member(
    String vm,
    String zone,
    long incarnation,
    String host,
    int port,
    int innerPort,
    boolean isDraining) {}
