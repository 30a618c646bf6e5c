package org.sageladder.forward;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;

/** What the attempts of one request tell the {@link CrashDetector}. */
final class CrashEvidence {
  private final CrashDetector detector;
  private final Supplier<RequestFingerprint> fingerprint;
  private final Set<TargetIncarnation> lostAt = new HashSet<>();
  private boolean hasEndedWell;

  CrashEvidence(CrashDetector detector, Supplier<RequestFingerprint> fingerprint) {
    this.detector = detector;
    this.fingerprint = fingerprint;
  }

  /**
   * The connection to a target ended before any byte of a response.
   *
   * @param request id and caller of the request, for the log
   */
  void recordLoss(TargetFacts target, String request) {
    lostAt.add(target.incarnation());
    detector.onRequestLost(target, request, fingerprint.get());
  }

  /** A target has run the request and its answer is complete. */
  void recordSuccess() {
    hasEndedWell = true;
    detector.onRunEndedWell(fingerprint);
  }

  /** Runs {@code sendAgain} once the request may be sent again after its loss at {@code target}. */
  void beforeSendingAgain(TargetFacts target, Runnable sendAgain) {
    detector.beforeSendingAgain(target.incarnation(), fingerprint.get().value(), sendAgain);
  }

  /** The request has ended. */
  void recordEnd() {
    if (!lostAt.isEmpty() && !hasEndedWell) {
      detector.onUnanswered(fingerprint.get().value(), lostAt);
    }
  }
}
