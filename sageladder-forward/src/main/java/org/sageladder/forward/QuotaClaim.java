package org.sageladder.forward;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.quota.QuotaDecision;
import org.sageladder.core.routing.Workspace;

/**
 * What one request takes of its workspace's quota.
 *
 * <p>It is admitted once. A sending that a target did not run is free, so that the next one needs
 * nothing more; one that may have run counts, and so does each after it. What was admitted and
 * never ran is given back.
 */
final class QuotaClaim {
  private enum State {
    NONE,
    PENDING,
    ADMITTED,
    SPENT
  }

  private final Forwarder forwarder;
  private @Nullable Workspace workspace;
  private State state = State.NONE;
  private boolean released;

  QuotaClaim(Forwarder forwarder) {
    this.forwarder = forwarder;
  }

  /**
   * Asks before a sending whether it may run.
   *
   * @param of whose request it is, or null where that is nobody's
   * @param later called with the decision where it is pending, unless the claim was released before
   */
  QuotaDecision request(@Nullable Workspace of, Consumer<QuotaDecision> later) {
    if (of == null || state == State.ADMITTED) {
      return new QuotaDecision.Granted();
    }
    long now = forwarder.loop().nowMillis();
    if (state == State.SPENT) {
      // Its caller waits for an answer to what was admitted before.
      forwarder.quotas().recordResend(of, now);
      state = State.ADMITTED;
      return new QuotaDecision.Granted();
    }
    workspace = of;
    state = State.PENDING;
    QuotaDecision decision =
        forwarder.quotas().admit(of, now, decided -> onDecision(decided, later));
    if (!(decision instanceof QuotaDecision.Pending)) {
      recordDecision(decision);
    }
    return decision;
  }

  private void recordDecision(QuotaDecision decision) {
    state = decision instanceof QuotaDecision.Granted ? State.ADMITTED : State.NONE;
  }

  private void onDecision(QuotaDecision decision, Consumer<QuotaDecision> later) {
    recordDecision(decision);
    if (released) {
      refund();
      return;
    }
    later.accept(decision);
  }

  /** A target may have run the request. */
  void markSpent() {
    if (state == State.ADMITTED) {
      state = State.SPENT;
    }
  }

  /** The request has ended. */
  void release() {
    released = true;
    refund();
  }

  private void refund() {
    Workspace of = workspace;
    if (state == State.ADMITTED && of != null) {
      state = State.NONE;
      forwarder.quotas().cancelAdmission(of, forwarder.loop().nowMillis());
    }
  }
}
