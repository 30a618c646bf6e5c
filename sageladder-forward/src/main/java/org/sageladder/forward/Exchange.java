package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.placing.Placement.PlacementRequest;
import org.sageladder.core.quota.QuotaDecision;
import org.sageladder.core.result.Outcome;
import org.sageladder.core.result.ResultCode;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.RoutingRules;
import org.sageladder.core.routing.Workspace;

/**
 * One request of a caller, from its head to its only response.
 *
 * <p>Guarantees two things. A non-idempotent request is sent again only if the target said that it
 * has not run it, or if no byte of it was sent. And "not run" (503) is returned only if no target
 * can have run the request.
 */
final class Exchange {
  /** An entry VM receives its first rules, or newer ones, within about this time. */
  static final long NO_RULES_RETRY_AFTER_MILLIS = 500;

  private final Forwarder forwarder;
  private final CallerConnection caller;
  private final HttpRequest head;
  private final long startedAtMillis;
  private final BufferedBody body = new BufferedBody();
  private @Nullable RouteRule route;
  private Sender sender = new Sender.Anonymous();
  private boolean areKeysRequired;
  private final QuotaClaim quotaClaim;
  private String requestId = "";
  private String service = "";
  private long objectHash;
  private final RequestDeadline deadline;
  private @Nullable Attempt attempt;
  private final CrashEvidence crashEvidence;
  private final AttemptLimit attemptLimit;
  private final NextAttempt nextAttempt;
  private final ResponseTurn turn;
  private final ErrorResponder errors;
  private boolean mayHaveRun;
  private boolean isWaitingForTurn;
  private boolean isPlaced;
  private boolean isFinished;
  private boolean isEndRecorded;
  private final FallbackResponse fallbackResponse = new FallbackResponse();

  Exchange(Forwarder forwarder, CallerConnection caller, HttpRequest head) {
    this.forwarder = forwarder;
    this.caller = caller;
    this.head = head;
    this.startedAtMillis = forwarder.loop().nowMillis();
    this.deadline = new RequestDeadline(forwarder.loop());
    this.quotaClaim = new QuotaClaim(forwarder);
    this.attemptLimit = new AttemptLimit(forwarder);
    this.nextAttempt = new NextAttempt(forwarder, this, caller.isPeer());
    this.turn = new ResponseTurn(forwarder, caller, this, head, body);
    this.errors = new ErrorResponder(forwarder, caller, turn, deadline, this);
    this.crashEvidence = new CrashEvidence(forwarder.crashDetector(), this::fingerprint);
    forwarder.requestStarted();
  }

  HttpRequest head() {
    return head;
  }

  String requestId() {
    return requestId;
  }

  BufferedBody body() {
    return body;
  }

  /** True if the rules define workspaces, so that the API key must not reach a target. */
  boolean hidesApiKey() {
    return areKeysRequired;
  }

  /** Name of the workspace that sent the request, or null if there is none. */
  @Nullable String workspaceName() {
    Workspace workspace = sender.workspaceOrNull();
    return workspace == null ? null : workspace.name();
  }

  /** True if the request must not run twice. */
  boolean runsAtMostOnce() {
    return !requireRoute().idempotent();
  }

  /** Identifies the request across attempts and entry VMs. */
  RequestFingerprint fingerprint() {
    return RequestFingerprint.of(workspaceName(), head, body.fingerprint());
  }

  CrashEvidence crashEvidence() {
    return crashEvidence;
  }

  /** Id and caller of the request, for log lines. */
  String idAndCaller() {
    return requestId + " from " + caller.callerAddress();
  }

  /** Milliseconds until the request must be answered. */
  long remainingMillis() {
    return deadline.remainingMillis();
  }

  /**
   * Starts the request with its head.
   *
   * @param isFirst true if no other request of the connection is unanswered
   */
  void start(boolean isFirst) {
    String headerId = forwarder.dialect().requestId(head.headers());
    requestId = headerId == null ? "" : headerId;
    ResultCode fault = RequestHeadValidator.findFault(head, headerId);
    if (fault != null) {
      refuseAndClose(fault);
      return;
    }
    RoutingRules rules = forwarder.rules();
    if (rules == null) {
      errors.refuse(
          ResultCode.NO_CONTRACT_IN_FORCE, NO_RULES_RETRY_AFTER_MILLIS, "no rules received yet");
      return;
    }
    if (caller.isPeer() && !acceptRelayed(rules)) {
      return;
    }
    if (HttpUtil.getContentLength(head, 0L) > rules.limits().maxBodyBytes()) {
      refuseAndClose(ResultCode.BODY_TOO_LARGE);
      return;
    }
    Optional<RouteRule> match =
        rules.match(RequestHeadValidator.hostName(head), RequestHeadValidator.path(head));
    if (match.isEmpty()) {
      refuseUnknown(ResultCode.UNKNOWN_ROUTE, rules);
      return;
    }
    if (!authenticate(match.get(), rules)) {
      refuseUnknown(ResultCode.API_KEY_UNKNOWN, rules);
      return;
    }
    acceptRequest(match.get(), isFirst);
  }

  /** Accepts a request of another entry VM's caller; false if it was refused. */
  private boolean acceptRelayed(RoutingRules rules) {
    Optional<RelayHeader> relayHeader = RelayHeader.removeFrom(head.headers());
    if (relayHeader.isEmpty() || !forwarder.relayPeers().isListed(caller.callerAddress())) {
      errors.refuse(
          ResultCode.RELAY_UNAVAILABLE, ErrorResponder.NO_RETRY_AFTER, "not from a known entry VM");
      return false;
    }
    if (relayHeader.get().rulesVersion() > rules.version()) {
      errors.refuse(
          ResultCode.RULES_OUT_OF_DATE,
          ErrorResponder.NO_RETRY_AFTER,
          "version " + rules.version());
      return false;
    }
    service = relayHeader.get().service();
    attemptLimit.recordSentElsewhere(relayHeader.get().sendCount());
    quotaClaim.markAdmittedElsewhere();
    return true;
  }

  /** Looks up the sender; false if its API key is unknown. */
  private boolean authenticate(RouteRule matchedRule, RoutingRules rules) {
    areKeysRequired = rules.keys().areRequired();
    sender = Sender.of(head.headers(), forwarder.dialect(), matchedRule, rules.keys());
    return !(sender instanceof Sender.Unauthenticated);
  }

  /**
   * Refuses a request whose route or API key the rules in force do not have. Callers treat 401 and
   * 404 as final. If the rules may be stale, route or key may be new ones that another VM already
   * knows, so that the request is refused as retryable instead.
   */
  private void refuseUnknown(ResultCode code, RoutingRules rules) {
    String version = "version " + rules.version();
    if (forwarder.mayHaveStaleRules()) {
      endWithoutResponse(ResultCode.RULES_OUT_OF_DATE, NO_RULES_RETRY_AFTER_MILLIS, version);
      return;
    }
    endWithoutResponse(code, ErrorResponder.NO_RETRY_AFTER, version);
  }

  private void acceptRequest(RouteRule matchedRule, boolean isFirst) {
    route = matchedRule;
    if (!matchedRule.mayUse(service)) {
      service = forwarder.nextService(matchedRule);
    }
    long callerMillis = forwarder.dialect().deadlineMillis(head.headers());
    deadline.start(matchedRule.timeoutMillis(), callerMillis, this::onDeadline);
    String key = forwarder.dialect().objectKey(head.headers());
    objectHash = RequestFingerprint.objectHash(matchedRule, key == null ? requestId : key);
    if (!caller.isPeer()) {
      forwarder.retryBudget().recordRequest(service, startedAtMillis);
    }
    isWaitingForTurn = !isFirst && !matchedRule.idempotent();
    if (mayOutlastShutdown()) {
      refuseStopping();
      return;
    }
    turn.askForBody();
  }

  /**
   * Receives bytes of the body and takes ownership of them; {@link #onBodyReceived} follows once
   * all that was received with them is here.
   */
  void onBodyBytes(ByteBuf bytes) {
    if (isFinished) {
      bytes.release();
      return;
    }
    body.add(bytes);
    if (body.receivedBytes() > forwarder.callerLimits().maxBodyBytes()) {
      refuseBody(ResultCode.BODY_TOO_LARGE);
      return;
    }
    if (!body.acceptsMore()) {
      onBodyProgress();
    }
  }

  /** Passes on the bytes of the body that were received so far. */
  void onBodyReceived() {
    if (!isFinished && body.hasBufferedBytes()) {
      onBodyProgress();
    }
  }

  /** Ends the request, since the rest of its body cannot be read. */
  void refuseBody(ResultCode code) {
    if (isFinished) {
      return;
    }
    abandonAttempt();
    if (turn.isStreaming()) {
      abortResponse("the rest of the request's body cannot be read");
      return;
    }
    refuseAndClose(code);
  }

  /** The body is complete. */
  void onBodyEnd() {
    body.complete();
    if (!isFinished) {
      onBodyProgress();
    }
  }

  private void onBodyProgress() {
    Attempt current = attempt;
    if (current != null) {
      current.writeMoreBody();
      return;
    }
    if (!isPlaced && !isWaitingForTurn && body.isReady()) {
      placeRequest();
    }
  }

  /** True while the caller may send more of the body. */
  boolean acceptsMoreBody() {
    Attempt current = attempt;
    return body.acceptsMore() && (current == null || current.acceptsMoreBody());
  }

  /** Updates whether more bytes are read from the caller. */
  void updateReading() {
    caller.updateReading();
  }

  /** All earlier requests on the connection are answered. */
  void onTurn() {
    if (turn.runPending()) {
      return;
    }
    turn.askForBody();
    if (isWaitingForTurn) {
      isWaitingForTurn = false;
      onBodyProgress();
    }
    onCallerWritable();
  }

  private RouteRule requireRoute() {
    RouteRule current = route;
    if (current == null) {
      throw new IllegalStateException("the request has no route");
    }
    return current;
  }

  /**
   * Sends the request elsewhere after an attempt that did not end it. A body that was streamed is
   * gone with that attempt; then the caller has to send the request again.
   */
  private void placeAgain(long retryAfterMillis) {
    if (isFinished) {
      return;
    }
    if (!body.isReplayable()) {
      forwarder.metrics().count("requests_with_streamed_body_refused");
      endWithoutResponse(
          ResultCode.TARGET_REFUSED, retryAfterMillis, "its streamed body cannot be sent again");
      return;
    }
    placeRequest();
  }

  private void placeRequest() {
    isPlaced = true;
    long quarantineMillis = forwarder.crashDetector().quarantineMillis(this::fingerprint);
    if (quarantineMillis > 0) {
      refuseQuarantined(quarantineMillis);
      return;
    }
    if (mayOutlastShutdown()) {
      refuseStopping();
      return;
    }
    RoutingRules rules = forwarder.rules();
    // The key may have been revoked while the request waited or since it was last sent.
    if (rules != null && !authenticate(requireRoute(), rules)) {
      refuseUnknown(ResultCode.API_KEY_UNKNOWN, rules);
      return;
    }
    QuotaDecision quota = quotaClaim.request(sender.workspaceOrNull(), this::onQuotaDecision);
    if (!(quota instanceof QuotaDecision.Granted)) {
      onQuotaDecision(quota);
      return;
    }
    PlacementRequest placementRequest =
        new PlacementRequest(
            requireRoute(), service, objectHash, remainingMillis(), sender.workspaceOrNull());
    NextAttempt.Choice choice = nextAttempt.choose(placementRequest, attemptLimit);
    if (choice instanceof NextAttempt.Choice.Refuse refuse) {
      endWithoutResponse(refuse.code(), refuse.retryAfterMillis(), refuse.reason());
      return;
    }
    Attempt next = ((NextAttempt.Choice.Send) choice).attempt();
    attempt = next;
    next.start(!requireRoute().idempotent());
  }

  /** True if this VM may stop before the request ends; its caller can use another one. */
  private boolean mayOutlastShutdown() {
    return !forwarder
        .shutdown()
        .permits(requireRoute().idempotent(), startedAtMillis, remainingMillis());
  }

  private void refuseStopping() {
    endWithoutResponse(ResultCode.STOPPING, Shutdown.RETRY_AFTER_MILLIS, Shutdown.REFUSAL_REASON);
  }

  /**
   * Called if another entry VM cannot be reached or cannot serve the request, which has not run.
   *
   * @param retryAfterMillis time for the caller to wait if the request cannot be sent elsewhere
   */
  void onPeerUnavailable(PeerAttempt failed, String cause, long retryAfterMillis) {
    attempt = null;
    logAttempt(EventKind.RETRIED, failed, cause);
    placeAgain(retryAfterMillis);
  }

  /** Called if another entry VM refused the request, which has not run there. */
  void onRelayedRefusal(PeerAttempt refused, ResultCode code, BufferedResponse response) {
    attempt = null;
    if (!fallbackResponse.isPresent() && !mayHaveRun) {
      deliver(refused, response);
      return;
    }
    response.release();
    endWithoutResponse(code, 0, "refused by " + refused.peerId());
  }

  /** Called with the complete response that another entry VM passed on. */
  void onRelayed(PeerAttempt done, BufferedResponse response) {
    if (!endStreaming(done, response)) {
      deliver(done, response);
    }
  }

  /**
   * Records the end of an attempt with a response; false if the response is still to be written.
   */
  private boolean endStreaming(Attempt done, BufferedResponse response) {
    attempt = null;
    quotaClaim.markSpent();
    attemptLimit.recordSent();
    if (!turn.isStreaming()) {
      return false;
    }
    caller.write(new DefaultLastHttpContent());
    finish(EventKind.ANSWERED, done, "status " + response.status(), turn.mustClose());
    return true;
  }

  private void refuseQuarantined(long quarantineMillis) {
    forwarder.metrics().count("requests_quarantined");
    // 503 instead of the result code's own status: the request may not have caused the crashes,
    // and callers retry a 503.
    errors.respond(
        ResultCode.QUARANTINED,
        mayHaveRun ? 502 : 503,
        errors.addJitter(quarantineMillis),
        forwarder.crashDetector().describeQuarantine(fingerprint()));
  }

  /** Continues with the decision on the quota; a pending decision calls this again later. */
  private void onQuotaDecision(QuotaDecision decision) {
    if (isFinished || decision instanceof QuotaDecision.Pending) {
      return;
    }
    if (decision instanceof QuotaDecision.Refused refused) {
      forwarder.metrics().count("quota_refused");
      endWithoutResponse(ResultCode.QUOTA_EXCEEDED, refused.retryAfterMillis(), refused.detail());
      return;
    }
    placeRequest();
  }

  /** Called if no byte of the request was sent to the target of {@code failed}. */
  void onNotSent(Attempt failed, String cause) {
    attempt = null;
    attemptLimit.recordUnreached();
    logAttempt(EventKind.RETRIED, failed, "not sent: " + cause);
    if (attemptLimit.permitsAnotherTarget(remainingMillis())) {
      placeAgain(0);
      return;
    }
    ResultCode code = caller.isPeer() ? ResultCode.RELAY_UNAVAILABLE : ResultCode.NO_TARGET;
    endWithoutResponse(code, 0, "no target reachable");
  }

  /** Called if the target has not run the request and will not run it. */
  void onNotRun(TargetAttempt refused, boolean isMisdirected) {
    attempt = null;
    logAttempt(
        EventKind.RETRIED,
        refused,
        isMisdirected ? "misdirected: another target has this address" : "refused");
    if (isMisdirected) {
      forwarder.targets().remove(refused.target().facts().incarnation());
      forwarder.forgetTarget(refused.target().facts().incarnation());
      attemptLimit.recordUnreached();
    } else {
      attemptLimit.recordSent();
    }
    if (canTryAnotherTarget()) {
      placeAgain(0);
      return;
    }
    endWithoutResponse(
        ResultCode.TARGET_REFUSED,
        (long) refused.decision().expectedRunMillis(),
        "refused by the target");
  }

  /** Called if the target may have run the request and there is no complete response. */
  void onLost(Attempt failed, String cause) {
    attempt = null;
    mayHaveRun = true;
    quotaClaim.markSpent();
    attemptLimit.recordSent();
    logAttempt(EventKind.FAILED, failed, cause);
    if (turn.isStreaming()) {
      abortResponse("the target's response was truncated: " + cause);
      return;
    }
    if (requireRoute().idempotent() && canTryAnotherTarget()) {
      failed.beforeSendingAgain(() -> placeAgain(0));
      return;
    }
    endWithoutResponse(ResultCode.TARGET_LOST, 0, cause);
  }

  private boolean canTryAnotherTarget() {
    return body.isReplayable()
        && attemptLimit.tryAcquireRetry(requireRoute(), service, remainingMillis(), subject());
  }

  /** Called once the response is complete. */
  void onComplete(Attempt done, BufferedResponse response) {
    if (endStreaming(done, response)) {
      return;
    }
    if (response.status() >= 500 && requireRoute().idempotent() && canTryAnotherTarget()) {
      logAttempt(EventKind.RETRIED, done, "status " + response.status());
      mayHaveRun = true;
      fallbackResponse.replace(response);
      placeAgain(0);
      return;
    }
    deliver(done, response);
  }

  private void deliver(@Nullable Attempt from, BufferedResponse response) {
    stopWaiting();
    turn.run(
        () -> {
          boolean close = turn.mustClose();
          response.writeComplete(caller, head.method().equals(HttpMethod.HEAD), close);
          finish(EventKind.ANSWERED, from, "status " + response.status(), close);
        },
        response::release,
        response.heldBytes());
    caller.updateHeld();
  }

  /** Receives bytes of a response and takes ownership of them. */
  void onResponseBytes(Attempt from, BufferedResponse response, ByteBuf bytes) {
    turn.receive(from, response, bytes);
    caller.updateHeld();
  }

  /** Bytes of heap that the request and its response occupy. */
  long heldBytes() {
    Attempt current = attempt;
    long attemptBytes = current == null ? 0 : current.heldBytes();
    return requestId.length() + turn.heldBytes() + fallbackResponse.heldBytes() + attemptBytes;
  }

  /** Called if the caller accepts more bytes or this request is the next to be answered. */
  void onCallerWritable() {
    Attempt current = attempt;
    if (current != null) {
      current.setReading(true);
    }
  }

  private void onDeadline() {
    if (isFinished) {
      return;
    }
    Attempt current = attempt;
    if (current != null) {
      current.recordTimeout();
    }
    abandonAttempt("no response before the deadline");
    if (turn.isStreaming()) {
      abortResponse("deadline exceeded during the response");
      return;
    }
    endWithoutResponse(ResultCode.TARGET_TIMEOUT, 0, "deadline exceeded");
  }

  /** The shutdown of this VM ends before the request does. */
  void onShutdownEnd() {
    if (isFinished) {
      return;
    }
    forwarder.metrics().count("requests_ended_by_shutdown");
    abandonAttempt("no response before the shutdown ends");
    if (turn.isStreaming()) {
      abortResponse("the shutdown ends during the response");
      return;
    }
    endWithoutResponse(ResultCode.STOPPING, Shutdown.RETRY_AFTER_MILLIS, "the shutdown ends");
  }

  private void abandonAttempt(String reason) {
    Attempt current = attempt;
    if (current != null) {
      mayHaveRun |= current.isSent();
      logAttempt(EventKind.FAILED, current, reason);
      abandonAttempt();
    }
  }

  private void abandonAttempt() {
    Attempt current = attempt;
    attempt = null;
    if (current != null) {
      if (current.isSent()) {
        quotaClaim.markSpent();
      }
      current.abandon();
    }
  }

  /**
   * Ends the request without a successful response of a target: with the 5xx response that a target
   * gave before if there is one, else with an error response.
   */
  private void endWithoutResponse(ResultCode code, long retryAfterMillis, String reason) {
    BufferedResponse fallback = fallbackResponse.take();
    if (fallback != null) {
      deliver(null, fallback);
      return;
    }
    if (!mayHaveRun) {
      ResultCode notRun = code.outcome() == Outcome.NOT_RUN ? code : ResultCode.QUEUE_DEADLINE;
      errors.refuse(notRun, retryAfterMillis, reason);
      return;
    }
    ResultCode unknownOutcomeCode =
        code.outcome() == Outcome.NOT_RUN ? ResultCode.TARGET_LOST : code;
    errors.respond(unknownOutcomeCode, unknownOutcomeCode.httpStatus(), 0, reason);
  }

  /**
   * Refuses a request that cannot be read completely, and closes the connection, since the end of
   * the request is not known.
   */
  void refuseAndClose(ResultCode code) {
    errors.refuseUnreadable(code);
  }

  /**
   * Refuses the request and closes the connection if the request was not sent to a target and can
   * be answered now; otherwise returns false.
   */
  boolean refuseUnsent() {
    Attempt current = attempt;
    boolean isSent = mayHaveRun || (current != null && current.isSent());
    if (isFinished || isSent || !caller.isDue(this)) {
      return false;
    }
    abandonAttempt();
    errors.refuseForMemory();
    return true;
  }

  private void abortResponse(String reason) {
    forwarder.metrics().count("answers_broken_off");
    recordEnd(EventKind.FAILED, null, reason);
    caller.closeNow();
  }

  void finish(EventKind kind, @Nullable Attempt last, String detail, boolean close) {
    recordEnd(kind, last, detail);
    caller.onExchangeEnded(this, close);
  }

  /** The caller's connection is closed; an attempt still in flight is abandoned. */
  void onCallerClosed() {
    if (isFinished && !turn.isWaiting()) {
      return;
    }
    abandonAttempt();
    turn.drop();
    recordEnd(EventKind.CANCELLED, null, "the caller closed the connection");
  }

  private void recordEnd(EventKind kind, @Nullable Attempt last, String detail) {
    stopWaiting();
    fallbackResponse.release();
    crashEvidence.recordEnd();
    body.release();
    quotaClaim.release();
    if (isEndRecorded) {
      return;
    }
    isEndRecorded = true;
    forwarder.requestEnded();
    long millis = forwarder.loop().nowMillis() - startedAtMillis;
    forwarder
        .requestLog()
        .recordEnd(
            kind, subject(), last, forwarder.rules(), millis, attemptLimit.sendCount(), detail);
  }

  private RequestLog.Subject subject() {
    String workspace = workspaceName();
    return new RequestLog.Subject(
        requestId, route == null ? "" : requireRoute().name(), workspace == null ? "" : workspace);
  }

  private void logAttempt(EventKind kind, Attempt of, String detail) {
    forwarder.requestLog().recordAttempt(kind, subject(), of, detail);
  }

  void stopWaiting() {
    isFinished = true;
    deadline.cancel();
  }
}
