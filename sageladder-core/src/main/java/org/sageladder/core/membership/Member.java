package org.sageladder.core.membership;

/**
 * An entry VM as listed in its zone's view.
 *
 * @param incarnation increases with each start of the VM; permits and slots belong to one
 *     incarnation
 * @param isDraining true once a planned stop has begun; never reset within an incarnation
 */
public record Member(
    String vm,
    String zone,
    long incarnation,
    String host,
    int port,
    int innerPort,
    boolean isDraining) {}
