package org.sageladder.core.membership;

import org.sageladder.core.time.TimeSource;

/**
 * Allows all slots while the zone's relay confirms this entry VM, half of them when it does not,
 * and none after a pause until the holding is confirmed anew.
 *
 * <p>The relay counts silence from the moment it received a heartbeat, this guard from the moment
 * the confirmed heartbeat was sent, which is earlier; so the gate is down to its half before a
 * take-over hands the other half to somebody else. A gate that wakes from a pause finds the control
 * thread's last tick too old before it dispatches anything. Where nobody answers after a pause,
 * half the slots come back after the confirm window: this VM is then cut off and serves what it
 * can.
 *
 * <p>Thread-safe: gates ask, the control thread tells.
 */
public final class ConfirmationGuard implements HoldingGuard {
  private final MembershipSettings settings;
  private final TimeSource time;
  private volatile long lastTickNanos;
  private volatile long lastConfirmedNanos;
  private volatile long resumedNanos;
  private volatile boolean isAwaitingConfirmation;

  private ConfirmationGuard(MembershipSettings settings, TimeSource time) {
    this.settings = settings;
    this.time = time;
    long now = time.nanos();
    lastTickNanos = now;
    lastConfirmedNanos = now - settings.confirmationWindow().toNanos();
    resumedNanos = now;
    isAwaitingConfirmation = true;
  }

  /** A guard that allows nothing until the first confirmation. */
  public static ConfirmationGuard of(MembershipSettings settings, TimeSource time) {
    return new ConfirmationGuard(settings, time);
  }

  /** The control thread is running; a long time since its last tick was a pause. */
  public void tick() {
    long now = time.nanos();
    if (now - lastTickNanos > settings.maxPause().toNanos()) {
      resumedNanos = now;
      isAwaitingConfirmation = true;
    }
    lastTickNanos = now;
  }

  /** The heartbeat sent at {@code sentNanos} was confirmed. */
  public void onConfirmed(long sentNanos) {
    if (sentNanos - lastConfirmedNanos > 0) {
      lastConfirmedNanos = sentNanos;
    }
    if (sentNanos - resumedNanos >= 0) {
      isAwaitingConfirmation = false;
    }
  }

  @Override
  public int usableSlots(Holding holding) {
    long now = time.nanos();
    if (now - lastTickNanos > settings.maxPause().toNanos()) {
      return 0;
    }
    if (isAwaitingConfirmation) {
      boolean alone = now - resumedNanos > settings.confirmationWindow().toNanos();
      return alone ? retainedSlots(holding.slots()) : 0;
    }
    boolean fresh = now - lastConfirmedNanos <= settings.confirmationWindow().toNanos();
    return fresh ? holding.slots() : retainedSlots(holding.slots());
  }

  /**
   * What an unconfirmed holder may go on using; with {@link #takeOverSlots} it makes up the whole.
   */
  static int retainedSlots(int slots) {
    return slots - takeOverSlots(slots);
  }

  /** What another member may use of a silent holder's slots. */
  static int takeOverSlots(int slots) {
    return slots / 2;
  }
}
