package org.sageladder.core.membership;

import org.sageladder.core.time.TimeSource;

/**
 * Allows all slots of a target while the zone's relay confirms this entry VM, half of them
 * otherwise, and none after a pause of the process until the holding is confirmed again.
 *
 * <p>The relay measures silence from the receipt of a heartbeat. This guard measures it from the
 * sending of the last confirmed heartbeat, which is earlier. So the gate is down to half the slots
 * before the relay assigns the other half to another entry VM. When the process resumes after a
 * pause, the control thread's last tick is too old, and nothing is dispatched before the control
 * thread runs. If no answer arrives after a pause, half the slots are allowed again after the
 * confirmation window: this VM is then cut off from the relay and serves with the slots that it
 * retains.
 *
 * <p>Thread-safe: gates read, and the control thread updates.
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

  /** Returns a guard that allows nothing until the first confirmation. */
  public static ConfirmationGuard of(MembershipSettings settings, TimeSource time) {
    return new ConfirmationGuard(settings, time);
  }

  /**
   * Records that the control thread is running. A long time since its last tick means that the
   * process was paused.
   */
  public void tick() {
    long now = time.nanos();
    if (now - lastTickNanos > settings.maxPause().toNanos()) {
      resumedNanos = now;
      isAwaitingConfirmation = true;
    }
    lastTickNanos = now;
  }

  /** Records that the heartbeat sent at {@code sentNanos} was confirmed. */
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
      boolean isCutOff = now - resumedNanos > settings.confirmationWindow().toNanos();
      return isCutOff ? retainedSlots(holding.slots()) : 0;
    }
    boolean isRecentlyConfirmed =
        now - lastConfirmedNanos <= settings.confirmationWindow().toNanos();
    return isRecentlyConfirmed ? holding.slots() : retainedSlots(holding.slots());
  }

  /**
   * Slots that an unconfirmed holder may still use. Together with {@link #takeOverSlots} they make
   * up all slots.
   */
  static int retainedSlots(int slots) {
    return slots - takeOverSlots(slots);
  }

  /** Slots of a silent holder that another member may use. */
  static int takeOverSlots(int slots) {
    return slots / 2;
  }
}
