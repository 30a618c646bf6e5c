package org.sageladder.entry.request;

import org.jspecify.annotations.Nullable;
import org.sageladder.core.limits.Gate;

/**
 * Whether a request waits, is sent or has ended, and what cancels its present step.
 *
 * <p>Failure guarded against: a deadline or a broken connection in the very instant of sending sees
 * the request as waiting, and its caller is told "not run" of a request that runs. The decision to
 * send and the decision to end are taken under one lock, and the later one knows of the earlier.
 * The lock is the last in any order but for whatever {@link #runUnlessEnded} runs.
 */
final class FlowState {
  private Runnable cancelAction = () -> {};
  private boolean dispatched;
  private boolean ended;

  /** What had to be known at the end. */
  record End(boolean isDispatched, Runnable cancelAction) {}

  /** Decides, once and for all, that the request is sent; false where the flow has ended. */
  synchronized boolean beginDispatch() {
    if (ended) {
      return false;
    }
    dispatched = true;
    cancelAction = () -> {};
    return true;
  }

  /** Takes a dispatch back that provably ran nothing. */
  synchronized void undoDispatch() {
    dispatched = false;
  }

  synchronized boolean isDispatched() {
    return dispatched;
  }

  synchronized boolean isEnded() {
    return ended;
  }

  /** Ends the flow; null where it had ended before. */
  synchronized @Nullable End end() {
    if (ended) {
      return null;
    }
    ended = true;
    return new End(dispatched, cancelAction);
  }

  synchronized void finish() {
    ended = true;
  }

  /** Runs {@code action} unless the flow has ended; false where it has. */
  synchronized boolean runUnlessEnded(Runnable action) {
    if (!ended) {
      action.run();
    }
    return !ended;
  }

  /** Names the wait as what a going caller ends, unless the gate has let the request through. */
  void setWait(Gate.Cancellable wait) {
    boolean now;
    synchronized (this) {
      if (dispatched) {
        return;
      }
      now = ended;
      if (!now) {
        cancelAction = wait::cancel;
      }
    }
    if (now) {
      boolean unused = wait.cancel();
    }
  }

  /** Names what ends the present step; runs it at once where the flow has already ended. */
  void setCancelAction(Runnable cancel) {
    boolean now;
    synchronized (this) {
      now = ended;
      if (!now) {
        cancelAction = cancel;
      }
    }
    if (now) {
      cancel.run();
    }
  }
}
