package org.sageladder.core.limits;

import org.sageladder.core.membership.Holding;

/** The slots of one incarnation of one target as its gate counts them; guarded by the gate. */
final class TargetSlots {
  private Holding holding;
  private boolean held = true;
  private boolean leaving;
  private int inFlight;

  TargetSlots(Holding holding) {
    this.holding = holding;
    this.leaving = holding.leaving();
  }

  Holding holding() {
    return holding;
  }

  int inFlight() {
    return inFlight;
  }

  /** Takes a newer holding of the same incarnation; leaving is never undone. */
  void update(Holding newer) {
    holding = newer;
    held = true;
    leaving |= newer.leaving();
  }

  void loseHold() {
    held = false;
  }

  boolean isHeld() {
    return held;
  }

  void markLeaving() {
    leaving = true;
  }

  boolean isLeaving() {
    return leaving;
  }

  boolean takesWork() {
    return held && !leaving;
  }

  int usableSlots() {
    return takesWork() ? holding.slots() : 0;
  }

  int freeSlots() {
    return Math.max(0, usableSlots() - inFlight);
  }

  void take() {
    inFlight++;
  }

  void giveBack() {
    inFlight--;
  }
}
