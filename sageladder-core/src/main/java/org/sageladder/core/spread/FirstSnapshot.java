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
public final class FirstSnapshot {
  private final TimeSource time;
  private final Duration waitForOthers;
  private final Set<String> asked = new HashSet<>();
  private final Set<String> answered = new HashSet<>();
  private boolean storeAnswered;
  private long firstAnswerNanos;

  private FirstSnapshot(TimeSource time, Duration waitForOthers) {
    this.time = time;
    this.waitForOthers = waitForOthers;
  }

  /** Waits {@code waitForOthers} for further peers after the first one answered. */
  public static FirstSnapshot of(TimeSource time, Duration waitForOthers) {
    return new FirstSnapshot(time, waitForOthers);
  }

  /** Notes that {@code vm} was asked for its items. */
  public void asked(String vm) {
    asked.add(vm);
  }

  /** Notes that {@code vm} has sent all its items; ignored where it is not ready itself. */
  public void peerAnswered(String vm, boolean peerReady) {
    if (!peerReady) {
      return;
    }
    if (answered.isEmpty()) {
      firstAnswerNanos = time.nanos();
    }
    answered.add(vm);
  }

  /** Notes that the store told what it holds. */
  public void storeAnswered() {
    storeAnswered = true;
  }

  /** Whether the highest revision that can be known has been taken. */
  public boolean complete() {
    if (storeAnswered) {
      return true;
    }
    if (answered.isEmpty()) {
      return false;
    }
    return answered.containsAll(asked)
        || time.nanos() - firstAnswerNanos >= waitForOthers.toNanos();
  }

  /** One line on what is known and what is missing, for operators. */
  public String explanation() {
    if (complete()) {
      return storeAnswered
          ? "the store answered"
          : answered.size() + " of " + asked.size() + " peers answered, the store has not";
    }
    return "neither the store nor a ready peer has answered; asked " + asked.size() + " peers";
  }
}
