package org.sageladder.forward;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.quota.QuotaDecision;
import org.sageladder.core.routing.Workspace;

/**
 * The claim of one request on the quota of its workspace.
 *
 * <p>A request is admitted once. An attempt that the target did not run is free, so that the next
 * attempt needs no further quota. An attempt that may have run counts, and so does each attempt
 * after it. Quota that was granted but not used is refunded when the request ends.
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
  private boolean isAdmittedElsewhere;

  QuotaClaim(Forwarder forwarder) {
    this.forwarder = forwarder;
  }

  /** Marks the request as one that another entry VM has admitted. */
  void markAdmittedElsewhere() {
    isAdmittedElsewhere = true;
  }

  /**
   * Requests quota before an attempt.
   *
   * @param sender the workspace that sent the request, or null if there is none
   * @param callback called with the decision if it is pending, unless the claim is released before
   */
  QuotaDecision request(@Nullable Workspace sender, Consumer<QuotaDecision> callback) {
    if (sender == null || isAdmittedElsewhere || state == State.ADMITTED) {
      return new QuotaDecision.Granted();
    }
    long now = forwarder.loop().nowMillis();
    if (state == State.SPENT) {
      // Always granted: the caller waits for the response to the request admitted before.
      forwarder.quotas().recordResend(sender, now);
      state = State.ADMITTED;
      return new QuotaDecision.Granted();
    }
    workspace = sender;
    state = State.PENDING;
    QuotaDecision decision =
        forwarder.quotas().admit(sender, now, decided -> onDecision(decided, callback));
    if (decision instanceof QuotaDecision.Pending) {
      forwarder.metrics().count("quota_waits");
    } else {
      recordDecision(decision);
    }
    return decision;
  }

  private void recordDecision(QuotaDecision decision) {
    state = decision instanceof QuotaDecision.Granted ? State.ADMITTED : State.NONE;
  }

  private void onDecision(QuotaDecision decision, Consumer<QuotaDecision> callback) {
    recordDecision(decision);
    if (released) {
      refund();
      return;
    }
    callback.accept(decision);
  }

  /** A target may have run the request. */
  void markSpent() {
    if (state == State.ADMITTED) {
      state = State.SPENT;
    }
  }

  /** Ends the claim and refunds unused quota. */
  void release() {
    released = true;
    refund();
  }

  private void refund() {
    Workspace sender = workspace;
    if (state == State.ADMITTED && sender != null) {
      state = State.NONE;
      forwarder.quotas().cancelAdmission(sender, forwarder.loop().nowMillis());
    }
  }
}
