package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.placing.LoadReport;
import org.sageladder.core.placing.Placement.PlacementRequest;
import org.sageladder.core.placing.PlacementDecision.Send;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.core.placing.TargetSignals;
import org.sageladder.core.placing.TargetState;

/** One attempt to send a request to one target. */
final class TargetAttempt extends Attempt {
  /**
   * Clocks of two machines may differ by this much, the largest clock step that operators report.
   */
  private static final long MAX_CLOCK_SKEW_MILLIS = 2_000;

  /** Time for which an unreachable target is avoided if there is another. */
  private static final long AVOID_UNREACHABLE_MILLIS = 1_500;

  /**
   * Minimum time without any byte of a response before the target's reachability is checked: longer
   * than most runs, and early enough to try another target.
   */
  private static final long MIN_CHECK_DELAY_MILLIS = 1_000;

  /**
   * Minimum time without an answer before the end of a connection counts as lost contact. A target
   * that resets a connection sooner is there: it drops an answer or has too many connections.
   */
  private static final long MIN_SILENCE_MILLIS = 500;

  /** The check is delayed by at least this multiple of the estimated wait and run time. */
  private static final double CHECK_DELAY_FACTOR = 2;

  private final PlacementRequest placementRequest;
  private final Send decision;
  private final long startedAtWallMillis;
  private TargetSignals signals = TargetSignals.none();

  TargetAttempt(
      Forwarder forwarder, Exchange exchange, PlacementRequest placementRequest, Send send) {
    super(forwarder, exchange);
    this.placementRequest = placementRequest;
    this.decision = send;
    this.startedAtWallMillis = forwarder.loop().wallMillis();
  }

  TargetState target() {
    return decision.target();
  }

  private TargetFacts facts() {
    return decision.target().facts();
  }

  Send decision() {
    return decision;
  }

  @Override
  String peerId() {
    return facts().id();
  }

  @Override
  String describeEstimate() {
    // Concatenated, since a formatter costs more than the rest of the line and each request logs
    // one.
    return ", has cached "
        + decision.isWarm()
        + ", estimated wait + run "
        + Math.round(decision.expectedWaitMillis())
        + " + "
        + Math.round(decision.expectedRunMillis())
        + " ms, elapsed "
        + elapsedMillis()
        + " ms, own in flight there "
        + target().inFlight();
  }

  @Override
  String host() {
    return facts().host();
  }

  @Override
  int port() {
    return facts().port();
  }

  @Override
  void start(boolean atMostOnce) {
    forwarder().attempts().add(this);
    forwarder().placement().recordSent(decision, startedAtMillis());
    TargetConnectionPool<TargetIncarnation> pool = forwarder().connectionPool();
    TargetIncarnation incarnation = facts().incarnation();
    pool.acquire(
        incarnation,
        host(),
        port(),
        maxIdleMillis(pool, incarnation, atMostOnce),
        this::onConnected,
        this::onConnectFailed,
        this::onEstablished);
  }

  private void onEstablished(double millis) {
    forwarder().roundTripTimes().recordConnect(facts().zone(), millis);
    forwarder().onReached(facts());
  }

  private void onConnected(TargetConnection opened) {
    if (isFinished()) {
      forwarder().connectionPool().release(facts().incarnation(), opened);
      return;
    }
    if (!forwarder().targets().acceptsRequests(target(), forwarder().loop().nowMillis())) {
      forwarder().connectionPool().release(facts().incarnation(), opened);
      detach();
      exchange().onNotSent(this, "the target accepts no requests any more");
      return;
    }
    target().recordConnection(opened.openedAtMillis());
    double estimateBasedMillis =
        CHECK_DELAY_FACTOR * (decision.expectedWaitMillis() + decision.expectedRunMillis());
    send(opened, Math.max(MIN_CHECK_DELAY_MILLIS, (long) estimateBasedMillis));
  }

  @Override
  void adaptHeaders(HttpHeaders headers) {
    Dialect dialect = forwarder().dialect();
    if (exchange().hidesApiKey()) {
      dialect.replaceApiKey(headers, exchange().workspaceName());
    }
    dialect.addTargetHeaders(headers, facts().id(), exchange().remainingMillis());
  }

  @Override
  void recordUnreachable(TargetConnection used) {
    forwarder().onUnreached(facts());
    target().avoidUntil(forwarder().loop().nowMillis() + AVOID_UNREACHABLE_MILLIS);
    forwarder().onContactLost(target(), used.lastAliveMillis(), "unreachable");
  }

  @Override
  void onConnectFailed(String cause) {
    if (isFinished()) {
      return;
    }
    forwarder().onUnreached(facts());
    endUnconnected(cause);
  }

  /** This VM reaches no target of the service any more, as far as it knows. */
  void onTargetsLost() {
    if (isFinished()) {
      return;
    }
    if (connection() == null) {
      endUnconnected("no target of the service accepts connections");
      return;
    }
    if (!exchange().runsAtMostOnce()) {
      checkReachability();
    }
  }

  private void endUnconnected(String cause) {
    if (isFinished()) {
      return;
    }
    finishWithFailure();
    target().avoidUntil(forwarder().loop().nowMillis() + AVOID_UNREACHABLE_MILLIS);
    forwarder().onContactLost(target(), target().lastAnswerMillis(), cause);
    exchange().onNotSent(this, cause);
  }

  @Override
  void recordTimeout() {
    target().recordOutcome(false, forwarder().loop().nowMillis());
  }

  @Override
  void beforeSendingAgain(Runnable sendAgain) {
    exchange().crashEvidence().beforeSendingAgain(facts(), sendAgain);
  }

  /** Removes the attempt from its target's load. */
  @Override
  void onDetached() {
    target().endRequest();
  }

  /** Ends the attempt and counts a failure of the target. */
  private void finishWithFailure() {
    detach();
    target().recordOutcome(false, forwarder().loop().nowMillis());
  }

  @Override
  public void onHead(HttpResponse head) {
    super.onHead(head);
    Dialect dialect = forwarder().dialect();
    int status = head.status().code();
    signals = dialect.targetSignals(status, head.headers());
    if (!dialect.isMisdirected(status) && dialect.isAuthentic(status, head.headers())) {
      forwarder().onReached(facts());
      forwarder().onTargetSignals(facts(), signals);
      recordContact();
    }
  }

  private void recordContact() {
    TargetConnection used = connection();
    if (used != null) {
      forwarder().onContact(target(), used.openedAtMillis(), startedAtMillis());
    }
  }

  @Override
  public void onComplete() {
    TargetConnection used = connection();
    if (isFinished() || used == null) {
      return;
    }
    BufferedResponse buffered = takeResponse();
    if (buffered == null) {
      return;
    }
    if (mayBeFilledUp(used, buffered)) {
      buffered.release();
      onLost("the body may end with the beginning of another response");
      return;
    }
    long now = forwarder().loop().nowMillis();
    LoadReport load = signals.load();
    boolean notRun = forwarder().dialect().isNotRun(buffered.status(), buffered.headers());
    detach();
    if (load != null) {
      target().recordReport(load, now);
    }
    forwarder().connectionPool().release(facts().incarnation(), used);
    if (notRun) {
      boolean isMisdirected = forwarder().dialect().isMisdirected(buffered.status());
      recordRefusal(load, now);
      if (!isMisdirected) {
        shareObservation(0, load, now);
      }
      buffered.release();
      exchange().onNotRun(this, isMisdirected);
      return;
    }
    if (!forwarder().dialect().isAuthentic(buffered.status(), buffered.headers())) {
      target().recordOutcome(false, now);
      buffered.release();
      exchange().onLost(this, "the response was not created by the target or was altered");
      return;
    }
    if (buffered.status() < 500) {
      forwarder()
          .placement()
          .recordAnswer(placementRequest, decision, (double) elapsedMillis(), load, now);
      boolean hasObject = placementRequest.route().hasObjectAffinity();
      shareObservation(hasObject ? placementRequest.object() : 0, load, now);
      exchange().crashEvidence().recordSuccess();
    } else {
      target().recordOutcome(false, now);
      shareObservation(0, load, now);
    }
    exchange().onComplete(this, buffered);
  }

  /**
   * True if the response may have been truncated in its body and filled up to its length by a
   * second one, whose rest then stands behind it. Only a second response that is received at once
   * is seen.
   */
  private static boolean mayBeFilledUp(TargetConnection used, BufferedResponse buffered) {
    return used.hasBytesBehindResponse() && buffered.bodyContainsStatusLine();
  }

  private void shareObservation(long object, @Nullable LoadReport load, long now) {
    forwarder().observations().record(target(), object, load, now, forwarder().loop().wallMillis());
  }

  private void recordRefusal(@Nullable LoadReport load, long now) {
    // A target that asks for no requests for a time gets none: neither its load nor its failures
    // need to keep them away, and both would outlast that time.
    if (signals.backOffMillis() > 0) {
      return;
    }
    if (load == null) {
      int slots = facts().slots();
      target().recordReport(new LoadReport(slots, slots, slots), now);
      return;
    }
    // A target that refuses although it has free slots does so for another reason than its load.
    if (load.running() < load.slots()) {
      target().recordOutcome(false, now);
    }
  }

  /**
   * The target has restarted under the same id. A request sent to its previous incarnation is lost,
   * though the connection may stay open for seconds if that incarnation ended behind a network
   * partition. An attempt that began shortly before the restart, within the clock skew, may be
   * running at the new incarnation and continues.
   */
  void onTargetRestarted(TargetIncarnation newIncarnation) {
    boolean isAtPreviousIncarnation = facts().incarnation().isBefore(newIncarnation);
    if (isFinished()
        || !isAtPreviousIncarnation
        || startedAtWallMillis >= newIncarnation.startedAtMillis() - MAX_CLOCK_SKEW_MILLIS) {
      return;
    }
    TargetConnection used = connection();
    if (used == null) {
      endUnconnected("the target restarted");
      return;
    }
    abandonAsLost(used, "the target restarted");
  }

  @Override
  public void onLost(String cause) {
    if (isFinished()) {
      return;
    }
    finishWithFailure();
    dropResponse();
    TargetConnection used = connection();
    if (used != null && !used.hasResponseBytes()) {
      if (used.isEndedByPeer() && elapsedMillis() >= MIN_SILENCE_MILLIS) {
        forwarder().onContactLost(target(), used.lastAliveMillis(), cause);
      }
      exchange().crashEvidence().recordLoss(facts(), exchange().idAndCaller());
    }
    exchange().onLost(this, cause);
  }
}
