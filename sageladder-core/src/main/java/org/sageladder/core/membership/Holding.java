package org.sageladder.core.membership;

/**
 * One target and the entry VM that alone may send work to it.
 *
 * @param holder entry VM whose gate holds the target's slots; empty while none may
 * @param slots slots the holder may use, fewer than the target has after a take-over
 * @param targetIncarnation tells a returned target from the one that left
 * @param isDraining true once any sign of leaving was seen
 */
public record Holding(
    String target,
    String customer,
    String service,
    String host,
    int port,
    long targetIncarnation,
    String holder,
    int slots,
    boolean isDraining) {}
