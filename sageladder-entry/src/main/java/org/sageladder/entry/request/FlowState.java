package org.sageladder.entry.request;

import org.jspecify.annotations.Nullable;
import org.sageladder.core.limits.Gate;

/**
 * Tracks whether a request is waiting, dispatched or ended, and how to cancel its current step.
 *
 * <p>Dispatch and end are decided under one lock, so the later decision sees the earlier one.
 * Otherwise a deadline or a broken connection at the moment of dispatch would find the request
 * waiting, and its caller would get a not-run outcome of a request that runs. No other lock is
 * acquired while this one is held, except by the action of {@link #runUnlessEnded}.
 */
final class FlowState {
  private Runnable cancelAction = () -> {};
  private boolean isDispatched;
  private boolean isEnded;

  /** State of a flow at its end. */
  record End(boolean isDispatched, Runnable cancelAction) {}

  /** Marks the request as dispatched; false if the flow has ended. */
  synchronized boolean beginDispatch() {
    if (isEnded) {
      return false;
    }
    isDispatched = true;
    cancelAction = () -> {};
    return true;
  }

  /** Returns the request to waiting before a retry. */
  synchronized void undoDispatch() {
    isDispatched = false;
  }

  synchronized boolean isDispatched() {
    return isDispatched;
  }

  synchronized boolean isEnded() {
    return isEnded;
  }

  /** Ends the flow; null if it had ended before. */
  synchronized @Nullable End end() {
    if (isEnded) {
      return null;
    }
    isEnded = true;
    return new End(isDispatched, cancelAction);
  }

  synchronized void finish() {
    isEnded = true;
  }

  /** Runs {@code action} unless the flow has ended; false if it has. */
  synchronized boolean runUnlessEnded(Runnable action) {
    if (!isEnded) {
      action.run();
    }
    return !isEnded;
  }

  /**
   * Makes {@code wait} the step to cancel, unless the request is already dispatched; cancels it at
   * once if the flow has ended.
   */
  void setWait(Gate.Cancellable wait) {
    boolean hasEnded;
    synchronized (this) {
      if (isDispatched) {
        return;
      }
      hasEnded = isEnded;
      if (!hasEnded) {
        cancelAction = wait::cancel;
      }
    }
    if (hasEnded) {
      boolean unused = wait.cancel();
    }
  }

  /** Sets what cancels the current step; runs it at once if the flow has ended. */
  void setCancelAction(Runnable cancel) {
    boolean hasEnded;
    synchronized (this) {
      hasEnded = isEnded;
      if (!hasEnded) {
        cancelAction = cancel;
      }
    }
    if (hasEnded) {
      cancel.run();
    }
  }
}
