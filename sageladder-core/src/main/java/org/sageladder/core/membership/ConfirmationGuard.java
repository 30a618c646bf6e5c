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
  private volatile long confirmedNanos;
  private volatile long wokeNanos;
  private volatile boolean awaiting;

  private ConfirmationGuard(MembershipSettings settings, TimeSource time) {
    this.settings = settings;
    this.time = time;
    long now = time.nanos();
    lastTickNanos = now;
    confirmedNanos = now - settings.confirmWindow().toNanos();
    wokeNanos = now;
    awaiting = true;
  }

  /** A guard that allows nothing until the first confirmation. */
  public static ConfirmationGuard of(MembershipSettings settings, TimeSource time) {
    return new ConfirmationGuard(settings, time);
  }

  /** The control thread is running; a long time since its last tick was a pause. */
  public void tick() {
    long now = time.nanos();
    if (now - lastTickNanos > settings.pauseAllowance().toNanos()) {
      wokeNanos = now;
      awaiting = true;
    }
    lastTickNanos = now;
  }

  /** The heartbeat sent at {@code sentNanos} was confirmed. */
  public void confirmed(long sentNanos) {
    if (sentNanos - confirmedNanos > 0) {
      confirmedNanos = sentNanos;
    }
    if (sentNanos - wokeNanos >= 0) {
      awaiting = false;
    }
  }

  @Override
  public int slots(Holding holding) {
    long now = time.nanos();
    if (now - lastTickNanos > settings.pauseAllowance().toNanos()) {
      return 0;
    }
    if (awaiting) {
      boolean alone = now - wokeNanos > settings.confirmWindow().toNanos();
      return alone ? keptHalf(holding.slots()) : 0;
    }
    boolean fresh = now - confirmedNanos <= settings.confirmWindow().toNanos();
    return fresh ? holding.slots() : keptHalf(holding.slots());
  }

  /** What an unconfirmed holder may go on using; with {@link #takenHalf} it makes up the whole. */
  static int keptHalf(int slots) {
    return slots - takenHalf(slots);
  }

  /** What another member may use of a silent holder's slots. */
  static int takenHalf(int slots) {
    return slots / 2;
  }
}
