package org.sageladder.core.membership;

/**
 * The assignment of one target's slots to the only entry VM that may send work to it, the holder.
 *
 * @param holder entry VM whose gate holds the target's slots; empty while no VM may use them
 * @param slots slots that the holder may use; fewer than the target has after a take-over
 * @param targetIncarnation distinguishes a restarted target from its earlier run
 * @param isDraining true once any source has reported that the target is draining
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
