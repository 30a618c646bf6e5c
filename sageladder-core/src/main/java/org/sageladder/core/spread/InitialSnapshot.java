package org.sageladder.core.spread;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.sageladder.core.time.TimeSource;

/**
 * Decides when a fresh entry VM knows enough to serve.
 *
 * <p>Guards against a fresh VM that takes an old contract for the newest: it would serve a revision
 * that its neighbours left behind. The store's answer settles it; without the store, the highest
 * revision among the peers does, once all that were asked have answered or a short wait has passed
 * since the first answer. A peer that is itself fresh does not count. With neither store nor peer
 * the VM never becomes ready, because any guess could be a revert.
 */
public final class InitialSnapshot {
  private final TimeSource time;
  private final Duration peerWait;
  private final Set<String> requestedPeers = new HashSet<>();
  private final Set<String> answeredPeers = new HashSet<>();
  private boolean hasStoreAnswered;
  private long firstAnswerNanos;

  private InitialSnapshot(TimeSource time, Duration peerWait) {
    this.time = time;
    this.peerWait = peerWait;
  }

  /** Waits {@code waitForOthers} for further peers after the first one answered. */
  public static InitialSnapshot of(TimeSource time, Duration peerWait) {
    return new InitialSnapshot(time, peerWait);
  }

  /** Notes that {@code vm} was asked for its items. */
  public void recordRequest(String vm) {
    requestedPeers.add(vm);
  }

  /** Notes that {@code vm} has sent all its items; ignored where it is not ready itself. */
  public void recordPeerAnswer(String vm, boolean isPeerReady) {
    if (!isPeerReady) {
      return;
    }
    if (answeredPeers.isEmpty()) {
      firstAnswerNanos = time.nanos();
    }
    answeredPeers.add(vm);
  }

  /** Notes that the store told what it holds. */
  public void recordStoreAnswer() {
    hasStoreAnswered = true;
  }

  /** Whether the highest revision that can be known has been taken. */
  public boolean isComplete() {
    if (hasStoreAnswered) {
      return true;
    }
    if (answeredPeers.isEmpty()) {
      return false;
    }
    return answeredPeers.containsAll(requestedPeers)
        || time.nanos() - firstAnswerNanos >= peerWait.toNanos();
  }

  /** One line on what is known and what is missing, for operators. */
  public String explanation() {
    if (isComplete()) {
      return hasStoreAnswered
          ? "the store answered"
          : answeredPeers.size()
              + " of "
              + requestedPeers.size()
              + " peers answered, the store has not";
    }
    return "neither the store nor a ready peer has answered; asked "
        + requestedPeers.size()
        + " peers";
  }
}
