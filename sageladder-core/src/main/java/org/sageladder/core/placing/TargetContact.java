package org.sageladder.core.placing;

/**
 * Whether a target may have restarted since this entry VM last had an answer from it, as its
 * connections show.
 *
 * <p>A restarted target is cold, but its new registration is known only a heartbeat later, or not
 * at all while the store is unreachable. No connection survives a restart. So after a connection
 * was lost, an answer on another one proves that the target did not restart, if that one was open
 * before the target was last seen alive on the lost one. The first new connection after the loss
 * bounds the time for which the target can be cold.
 *
 * <pre>{@code
 * contact.recordLost(lastAnswerMillis, now, service.coldMillis());
 * contact.mayBeCold(now, target.inFlight()); // true
 * }</pre>
 */
final class TargetContact {
  private enum State {
    /** The known incarnation has answered. */
    CONFIRMED,
    /** A connection was lost or could not be opened. */
    LOST,
    /** A connection was opened after the loss, to the known or to a new incarnation. */
    REACHED
  }

  private State state = State.CONFIRMED;
  private long lastAnswerMillis;
  private long aliveAtMillis;
  private long lostAtMillis;
  private long coldMillis;
  private long reachedAtMillis;

  TargetContact(long now) {
    lastAnswerMillis = now;
  }

  /** Time of the last answer, or of the registration before the first one. */
  long lastAnswerMillis() {
    return lastAnswerMillis;
  }

  /**
   * Records that a connection ended without the answer that was due, or could not be opened.
   *
   * @param aliveAt when the known incarnation was last known to be alive
   * @param newColdMillis time for which a target of the service is cold after its start
   * @return true if no earlier loss was still in doubt
   */
  boolean recordLost(long aliveAt, long now, long newColdMillis) {
    boolean wasSettled = state == State.CONFIRMED || isWarmSinceReached(now);
    aliveAtMillis = wasSettled ? aliveAt : Math.min(aliveAtMillis, aliveAt);
    lostAtMillis = now;
    coldMillis = newColdMillis;
    state = State.LOST;
    return wasSettled;
  }

  /** Records a connection to the target, which may have been opened some time ago. */
  void recordConnection(long openedAt) {
    if (state == State.LOST && openedAt > lostAtMillis) {
      state = State.REACHED;
      reachedAtMillis = openedAt;
    }
  }

  /**
   * Records an answer. One to a request that was sent before the loss may have been under way when
   * the target ended, and proves nothing.
   *
   * @param openedAt when the connection was opened
   * @param sentAt when the request was sent
   * @return true if this confirms contact that was lost
   */
  boolean recordAnswer(long openedAt, long sentAt, long now) {
    lastAnswerMillis = now;
    if (state == State.CONFIRMED || openedAt > aliveAtMillis || sentAt < lostAtMillis) {
      return false;
    }
    state = State.CONFIRMED;
    return true;
  }

  /**
   * Returns true if the target may have started within its cold time. Once a loss is older than
   * that, one request at a time finds out whether the target is reachable again.
   */
  boolean mayBeCold(long now, int inFlight) {
    return switch (state) {
      case CONFIRMED -> false;
      case LOST -> coldMillis > 0 && (now - lostAtMillis < coldMillis || inFlight > 0);
      case REACHED -> !isWarmSinceReached(now);
    };
  }

  /** Returns true if the target is warm whichever incarnation accepted the new connection. */
  private boolean isWarmSinceReached(long now) {
    return state == State.REACHED && now - reachedAtMillis >= coldMillis;
  }
}
