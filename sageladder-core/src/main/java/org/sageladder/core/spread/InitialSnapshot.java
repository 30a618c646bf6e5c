package org.sageladder.core.spread;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.sageladder.core.time.TimeSource;

/**
 * Decides when a newly started entry VM has received enough state to serve.
 *
 * <p>A newly started VM must not take an old contract for the latest one, or it would serve a
 * revision that its peers have already replaced. An answer of the store is sufficient. Without the
 * store, the highest revision among the peers counts, once all peers that were asked have answered
 * or a short wait has passed since the first answer. A peer that is itself not ready does not
 * count. With neither store nor peer the VM never becomes ready, because any contract it assumed
 * could revert a newer one.
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

  /** Returns a snapshot that waits {@code peerWait} for further peers after the first answer. */
  public static InitialSnapshot of(TimeSource time, Duration peerWait) {
    return new InitialSnapshot(time, peerWait);
  }

  /** Records that the items of {@code vm} were requested. */
  public void recordRequest(String vm) {
    requestedPeers.add(vm);
  }

  /** Records that {@code vm} has sent all its items; ignored if that VM is not ready itself. */
  public void recordPeerAnswer(String vm, boolean isPeerReady) {
    if (!isPeerReady) {
      return;
    }
    if (answeredPeers.isEmpty()) {
      firstAnswerNanos = time.nanos();
    }
    answeredPeers.add(vm);
  }

  /** Records that the store has returned what it holds. */
  public void recordStoreAnswer() {
    hasStoreAnswered = true;
  }

  /** Whether the highest revision that can be known has been received. */
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

  /** One line for operators on what has been received and what is missing. */
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
