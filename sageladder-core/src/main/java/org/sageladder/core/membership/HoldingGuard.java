package org.sageladder.core.membership;

/**
 * Limits how many of a target's slots the gate may use; consulted before each dispatch.
 *
 * <p>An entry VM that was paused or cut off does not know that its targets were assigned to
 * another. Without this check both would send to the target and overload it. Implementations must
 * not block.
 */
@FunctionalInterface
public interface HoldingGuard {
  /** Returns the slots that may be used now, from 0 to {@code holding.slots()}. */
  int usableSlots(Holding holding);

  /** Returns a guard that allows all slots of every holding, for tests of a gate alone. */
  static HoldingGuard unrestricted() {
    return Holding::slots;
  }
}
