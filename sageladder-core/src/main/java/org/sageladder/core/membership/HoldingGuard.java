package org.sageladder.core.membership;

/**
 * Says how many of a target's slots the gate may use at this moment; asked before each dispatch.
 *
 * <p>Guards against an entry VM that was paused or cut off and does not know that its targets were
 * given to another: both would send to the target and overload it. Never blocks.
 */
@FunctionalInterface
public interface HoldingGuard {
  /** Slots that may be used now, between 0 and {@code holding.slots()}. */
  int usableSlots(Holding holding);

  /** A guard that trusts every holding, for tests of gates alone. */
  static HoldingGuard unrestricted() {
    return Holding::slots;
  }
}
