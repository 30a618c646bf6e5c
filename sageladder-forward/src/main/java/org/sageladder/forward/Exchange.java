package org.sageladder.forward;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.placing.Placement.PlacementRequest;
import org.sageladder.core.placing.PlacementDecision;
import org.sageladder.core.quota.QuotaDecision;
import org.sageladder.core.result.Outcome;
import org.sageladder.core.result.ResultCode;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.RoutingRules;
import org.sageladder.core.routing.ServiceRule;
import org.sageladder.core.routing.Workspace;

/**
 * One request of a caller, from its head to its one answer.
 *
 * <p>Keeps two promises. A request that must not repeat is sent again only where the target said
 * that it has not run it, or where no byte of it was sent. And "not run" (503) is answered only
 * where no target can have run it.
 */
final class Exchange {
  /** An answer up to this size is held until it is whole; see {@link BufferedResponse}. */
  private static final long MAX_BUFFERED_BYTES = 256 << 10;

  /** Targets that could not be reached, or were another, before the request is given up. */
  private static final int MAX_UNREACHED_TARGETS = 4;

  /** Time before the caller's deadline at which it gets its answer, to reach it in time. */
  private static final long RESPONSE_MARGIN_MILLIS = 20;

  /** With less time left than this a further target has no chance to answer. */
  private static final long MIN_RETRY_BUDGET_MILLIS = 30;

  /** A caller waits as told up to this part of the time it has left. */
  private static final double MAX_RETRY_AFTER_FRACTION = 0.33;

  /** Wait for a configuration: an entry VM that has started knows one within about this time. */
  private static final long NO_RULES_RETRY_AFTER_MILLIS = 500;

  /** A caller refused by a leaving VM finds another one at once. */
  private static final long STOPPING_RETRY_AFTER_MILLIS = 20;

  /** In place of a time to come back: the same request would be refused again. */
  private static final long NO_RETRY_AFTER = -1;

  private static final HttpRequest NO_REQUEST =
      new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");

  private final Forwarder forwarder;
  private final CallerConnection caller;
  private final HttpRequest head;
  private final long startedAtMillis;
  private final BufferedBody body = new BufferedBody();
  private final Set<String> triedTargetIds = new HashSet<>();
  private @Nullable RouteRule route;
  private Sender sender = new Sender.Anonymous();
  private boolean areKeysRequired;
  private final QuotaClaim quotaClaim;
  private String requestId = "";
  private String service = "";
  private long objectHash;
  private long deadlineMillis = Long.MAX_VALUE;
  private Loop.@Nullable Timer deadlineTimer;
  private @Nullable Attempt attempt;
  private int sendCount;
  private int unreachedCount;
  private boolean mayHaveRun;
  private boolean isWaitingForTurn;
  private boolean isPlaced;
  private boolean isFinished;
  private boolean isEndRecorded;
  private boolean isStreaming;
  private @Nullable Runnable pendingResponse;
  private @Nullable BufferedResponse fallbackResponse;

  Exchange(Forwarder forwarder, CallerConnection caller, HttpRequest head) {
    this.forwarder = forwarder;
    this.caller = caller;
    this.head = head;
    this.startedAtMillis = forwarder.loop().nowMillis();
    this.quotaClaim = new QuotaClaim(forwarder);
    forwarder.requestStarted();
  }

  /** An exchange for bytes that are no request; it has an answer only. */
  static Exchange forMalformedRequest(Forwarder forwarder, CallerConnection caller) {
    return new Exchange(forwarder, caller, NO_REQUEST);
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

  /** True where the contract has workspaces, so that the caller's key stays here. */
  boolean hidesApiKey() {
    return areKeysRequired;
  }

  /** Name of the workspace whose request it is, or null where it is of none. */
  @Nullable String workspaceName() {
    Workspace workspace = sender.workspaceOrNull();
    return workspace == null ? null : workspace.name();
  }

  /** True where the request must not run twice. */
  boolean runsAtMostOnce() {
    return !requireRoute().idempotent();
  }

  /** Tells requests apart by what a target might crash at: caller, path and body. */
  long fingerprint() {
    return Hashing.komihash5_0()
        .hashCharsToLong(
            caller.callerAddress() + '\n' + head.method() + head.uri() + '\n' + body.fingerprint());
  }

  /** Time until the request must be answered. */
  long remainingMillis() {
    return Math.max(0, deadlineMillis - forwarder.loop().nowMillis());
  }

  /** Takes the head in; {@code first} where no other request of the connection is unanswered. */
  void start(boolean isFirst) {
    String named = forwarder.dialect().requestId(head.headers());
    requestId = named == null ? "" : named;
    ResultCode fault = RequestHeadValidator.findFault(head, named);
    if (fault != null) {
      refuseAndClose(fault);
      return;
    }
    RoutingRules rules = forwarder.rules();
    if (rules == null) {
      refuse(
          ResultCode.NO_CONTRACT_IN_FORCE,
          NO_RULES_RETRY_AFTER_MILLIS,
          "no configuration known yet");
      return;
    }
    if (HttpUtil.getContentLength(head, 0L) > rules.limits().maxBodyBytes()) {
      refuseAndClose(ResultCode.BODY_TOO_LARGE);
      return;
    }
    Optional<RouteRule> match =
        rules.match(RequestHeadValidator.hostName(head), RequestHeadValidator.path(head));
    if (match.isEmpty()) {
      respond(ResultCode.UNKNOWN_ROUTE, 0, "version " + rules.version());
      return;
    }
    if (!authenticate(match.get(), rules)) {
      refuseUnknownApiKey(rules);
      return;
    }
    acceptRequest(match.get(), isFirst);
  }

  /** Looks up who sends the request; false where its API key is not known. */
  private boolean authenticate(RouteRule matched, RoutingRules rules) {
    areKeysRequired = rules.keys().areRequired();
    sender = Sender.of(head.headers(), forwarder.dialect(), matched, rules.keys());
    return !(sender instanceof Sender.Unauthenticated);
  }

  /**
   * Refuses a key that no workspace holds by the rules in force. A caller takes 401 as final; where
   * the rules may be old, its key may be a new one, and another VM may know it.
   */
  private void refuseUnknownApiKey(RoutingRules rules) {
    String version = "version " + rules.version();
    if (forwarder.mayHaveStaleRules()) {
      endWithoutResponse(ResultCode.RULES_OUT_OF_DATE, NO_RULES_RETRY_AFTER_MILLIS, version);
      return;
    }
    endWithoutResponse(ResultCode.API_KEY_UNKNOWN, NO_RETRY_AFTER, version);
  }

  private void acceptRequest(RouteRule matched, boolean isFirst) {
    route = matched;
    service = forwarder.nextService(matched);
    long wanted = forwarder.dialect().deadlineMillis(head.headers());
    long most = matched.timeoutMillis();
    if (wanted >= 0) {
      most = Math.min(most, Math.max(0, wanted - RESPONSE_MARGIN_MILLIS));
    }
    deadlineMillis = startedAtMillis + most;
    deadlineTimer = forwarder.loop().schedule(most, this::onDeadline);
    String key = forwarder.dialect().objectKey(head.headers());
    String subject = key == null ? requestId : key;
    objectHash =
        Hashing.komihash5_0().hashCharsToLong(matched.host() + matched.prefix() + '\n' + subject);
    forwarder.retryAllowance().recordRequest(service, startedAtMillis);
    isWaitingForTurn = !isFirst && !matched.idempotent();
    if (HttpUtil.is100ContinueExpected(head)) {
      caller.write(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
      caller.flush();
    }
  }

  /** Takes bytes of the body over. */
  void onBodyBytes(ByteBuf bytes) {
    if (isFinished) {
      bytes.release();
      return;
    }
    body.add(bytes);
    if (body.receivedBytes() > forwarder.callerLimits().maxBodyBytes()) {
      abandonAttempt();
      refuseAndClose(ResultCode.BODY_TOO_LARGE);
      return;
    }
    onBodyProgress();
  }

  /** The body is whole. */
  void onBodyEnd() {
    body.complete();
    if (!isFinished) {
      onBodyProgress();
    }
  }

  private void onBodyProgress() {
    Attempt known = attempt;
    if (known != null) {
      known.writeMoreBody();
      return;
    }
    if (!isPlaced && !isWaitingForTurn && body.isReady()) {
      placeRequest();
    }
  }

  /** True where the caller may send more of the body. */
  boolean acceptsMoreBody() {
    Attempt known = attempt;
    return known == null ? body.acceptsMore() : known.acceptsMoreBody();
  }

  /** Looks again whether the caller may send more. */
  void updateReading() {
    caller.updateReading();
  }

  /** All requests before this one on its connection are answered. */
  void onTurn() {
    Runnable answer = pendingResponse;
    if (answer != null) {
      pendingResponse = null;
      answer.run();
      return;
    }
    if (isWaitingForTurn) {
      isWaitingForTurn = false;
      onBodyProgress();
    }
    onCallerWritable();
  }

  private RouteRule requireRoute() {
    RouteRule known = route;
    if (known == null) {
      throw new IllegalStateException("the request has no route");
    }
    return known;
  }

  private void placeRequest() {
    isPlaced = true;
    long held = forwarder.crashDetector().quarantineMillis(this::fingerprint);
    if (held > 0) {
      // 503 and not the code's own status: should the suspicion be wrong, the caller comes back.
      respond(
          ResultCode.QUARANTINED,
          mayHaveRun ? 502 : 503,
          addJitter(held),
          "it has crashed targets");
      return;
    }
    long now = forwarder.loop().nowMillis();
    RoutingRules rules = forwarder.rules();
    // The key may have been taken away while the request waited or was sent before.
    if (rules != null && !authenticate(requireRoute(), rules)) {
      refuseUnknownApiKey(rules);
      return;
    }
    QuotaDecision quota = quotaClaim.request(sender.workspaceOrNull(), this::onQuotaDecision);
    if (!(quota instanceof QuotaDecision.Granted)) {
      onQuotaDecision(quota);
      return;
    }
    PlacementRequest order =
        new PlacementRequest(
            requireRoute(), service, objectHash, remainingMillis(), sender.workspaceOrNull());
    ServiceRule rule = rules == null ? null : rules.service(service).orElse(null);
    PlacementDecision decision = forwarder.placement().place(order, rule, triedTargetIds, now);
    if (decision instanceof PlacementDecision.Send send) {
      if (!forwarder.canFinishBeforeStop(send.expectedWaitMillis() + send.expectedRunMillis())) {
        endWithoutResponse(
            ResultCode.STOPPING, STOPPING_RETRY_AFTER_MILLIS, "no time left before the stop");
        return;
      }
      Attempt next = new Attempt(forwarder, this, order, send);
      attempt = next;
      triedTargetIds.add(send.target().facts().id());
      next.start(!requireRoute().idempotent());
      return;
    }
    PlacementDecision.Refuse refuse = (PlacementDecision.Refuse) decision;
    String why = forwarder.requestLog().recordRefusal(refuse, order.remainingMillis());
    endWithoutResponse(ResultCode.NO_TARGET, refuse.retryAfterMillis(), why);
  }

  /** Goes on with what the workspace's quota allows; a pending decision comes here later. */
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

  /** No byte of the request was sent to the target of {@code failed}. */
  void onNotSent(Attempt failed, String cause) {
    attempt = null;
    unreachedCount++;
    logAttempt(EventKind.RETRIED, failed, "not reached: " + cause);
    if (unreachedCount < MAX_UNREACHED_TARGETS && remainingMillis() > MIN_RETRY_BUDGET_MILLIS) {
      placeRequest();
      return;
    }
    endWithoutResponse(ResultCode.NO_TARGET, 0, "targets not reached");
  }

  /** The target has not run the request and will not. */
  void onNotRun(Attempt refused, boolean isMisdirected) {
    attempt = null;
    logAttempt(EventKind.RETRIED, refused, isMisdirected ? "another target is there" : "refused");
    if (isMisdirected) {
      forwarder.targets().remove(refused.target().facts().incarnation());
      forwarder.forgetTarget(refused.target().facts().incarnation());
      unreachedCount++;
    } else {
      sendCount++;
    }
    if (canTryAnotherTarget()) {
      placeRequest();
      return;
    }
    endWithoutResponse(
        ResultCode.TARGET_REFUSED,
        (long) refused.decision().expectedRunMillis(),
        "refused by its target");
  }

  /** The target may have run the request, and there is no whole answer. */
  void onLost(Attempt failed, String cause) {
    attempt = null;
    mayHaveRun = true;
    quotaClaim.markSpent();
    sendCount++;
    logAttempt(EventKind.FAILED, failed, cause);
    if (isStreaming) {
      abortResponse("the target's answer broke off: " + cause);
      return;
    }
    if (requireRoute().idempotent() && canTryAnotherTarget()) {
      placeRequest();
      return;
    }
    endWithoutResponse(ResultCode.TARGET_LOST, 0, cause);
  }

  private boolean canTryAnotherTarget() {
    return body.isReplayable()
        && sendCount < requireRoute().maxTargets()
        && unreachedCount < MAX_UNREACHED_TARGETS
        && remainingMillis() > MIN_RETRY_BUDGET_MILLIS
        && forwarder.retryAllowance().tryAcquire(service, forwarder.loop().nowMillis());
  }

  /** The answer is whole. */
  void onComplete(Attempt done, BufferedResponse answer) {
    attempt = null;
    quotaClaim.markSpent();
    sendCount++;
    if (isStreaming) {
      caller.write(new DefaultLastHttpContent());
      finish(EventKind.ANSWERED, done, "status " + answer.status(), mustClose());
      return;
    }
    if (answer.status() >= 500 && requireRoute().idempotent() && canTryAnotherTarget()) {
      logAttempt(EventKind.RETRIED, done, "status " + answer.status());
      mayHaveRun = true;
      dropFallbackResponse();
      fallbackResponse = answer;
      placeRequest();
      return;
    }
    deliver(done, answer);
  }

  private void deliver(@Nullable Attempt from, BufferedResponse answer) {
    isFinished = true;
    cancelDeadlineTimer();
    runInTurn(
        () -> {
          boolean close = mustClose();
          answer.writeComplete(caller, head.method().equals(HttpMethod.HEAD), close);
          finish(EventKind.ANSWERED, from, "status " + answer.status(), close);
        });
  }

  /** Takes bytes of an answer over. */
  void onResponseBytes(Attempt from, BufferedResponse answer, ByteBuf bytes) {
    if (isStreaming) {
      caller.write(new DefaultHttpContent(bytes));
      caller.flush();
      from.setReading(caller.isWritable());
      return;
    }
    answer.add(bytes);
    if (answer.receivedBytes() <= MAX_BUFFERED_BYTES) {
      return;
    }
    if (!caller.isFirst(this)) {
      from.setReading(false);
      return;
    }
    isStreaming = true;
    answer.writeFirstPart(caller, mustClose());
    caller.flush();
    from.setReading(caller.isWritable());
  }

  /** The caller takes more bytes, or it is this request's turn. */
  void onCallerWritable() {
    Attempt known = attempt;
    if (known != null) {
      known.setReading(true);
    }
  }

  private void onDeadline() {
    if (isFinished) {
      return;
    }
    Attempt known = attempt;
    if (known != null) {
      mayHaveRun |= known.isSent();
      known.target().recordOutcome(false, forwarder.loop().nowMillis());
      logAttempt(EventKind.FAILED, known, "no answer in time");
      abandonAttempt();
    }
    if (isStreaming) {
      abortResponse("the time was up in the middle of the answer");
      return;
    }
    endWithoutResponse(ResultCode.TARGET_TIMEOUT, 0, "time up");
  }

  private void abandonAttempt() {
    Attempt known = attempt;
    attempt = null;
    if (known != null) {
      if (known.isSent()) {
        quotaClaim.markSpent();
      }
      known.abandon();
    }
  }

  /** Ends the request without an answer of a target, or with the failure that one gave before. */
  private void endWithoutResponse(ResultCode code, long retryMillis, String why) {
    BufferedResponse kept = fallbackResponse;
    if (kept != null) {
      fallbackResponse = null;
      deliver(null, kept);
      return;
    }
    if (!mayHaveRun) {
      ResultCode notRun = code.outcome() == Outcome.NOT_RUN ? code : ResultCode.QUEUE_DEADLINE;
      refuse(notRun, retryMillis, why);
      return;
    }
    ResultCode unknown = code.outcome() == Outcome.NOT_RUN ? ResultCode.TARGET_LOST : code;
    respond(unknown, 0, why);
  }

  private void refuse(ResultCode code, long retryMillis, String why) {
    respond(code, retryMillis == NO_RETRY_AFTER ? 0 : Math.max(1, addJitter(retryMillis)), why);
  }

  /** Spreads returns over as long again, so that those refused together do not come back so. */
  private long addJitter(long retryMillis) {
    long told = Math.round(retryMillis * (0.75 + forwarder.randomFraction()));
    if (deadlineMillis == Long.MAX_VALUE) {
      return told;
    }
    return Math.min(told, Math.round(remainingMillis() * MAX_RETRY_AFTER_FRACTION));
  }

  /** Refuses what cannot be read as a request, and closes, since what follows cannot be either. */
  void refuseAndClose(ResultCode code) {
    isFinished = true;
    cancelDeadlineTimer();
    runInTurn(
        () ->
            writeErrorResponse(
                new ErrorResponse(code, code.httpStatus(), 0, true), "not readable"));
  }

  private void respond(ResultCode code, long retryMillis, String why) {
    respond(code, code.httpStatus(), retryMillis, why);
  }

  private void respond(ResultCode code, int status, long retryMillis, String why) {
    isFinished = true;
    cancelDeadlineTimer();
    runInTurn(
        () -> writeErrorResponse(new ErrorResponse(code, status, retryMillis, mustClose()), why));
  }

  private void runInTurn(Runnable answer) {
    if (caller.isFirst(this)) {
      answer.run();
      return;
    }
    pendingResponse = answer;
  }

  private void writeErrorResponse(ErrorResponse answer, String why) {
    caller.write(answer.toHttpResponse(requestId, forwarder.dialect()));
    boolean notRun = answer.code().outcome() == Outcome.NOT_RUN;
    String detail = answer.code().name() + " " + why;
    finish(notRun ? EventKind.REFUSED : EventKind.FAILED, null, detail, answer.closesConnection());
  }

  private boolean mustClose() {
    boolean leaving = forwarder.isStopping() && caller.isLast(this);
    return leaving || !HttpUtil.isKeepAlive(head) || isBodyIncomplete();
  }

  /** True where bytes of the body are still to come: what follows them cannot be found. */
  private boolean isBodyIncomplete() {
    boolean hasBody =
        HttpUtil.isTransferEncodingChunked(head) || HttpUtil.getContentLength(head, 0L) > 0;
    return hasBody && !body.isComplete();
  }

  private void abortResponse(String why) {
    forwarder.metrics().count("answers_broken_off");
    recordEnd(EventKind.FAILED, null, why);
    caller.closeNow();
  }

  private void finish(EventKind kind, @Nullable Attempt last, String detail, boolean close) {
    recordEnd(kind, last, detail);
    caller.onExchangeEnded(this, close);
  }

  /** The caller's connection is closed; whatever still runs is dropped at once. */
  void onCallerClosed() {
    if (isFinished && pendingResponse == null) {
      return;
    }
    abandonAttempt();
    pendingResponse = null;
    recordEnd(EventKind.CANCELLED, null, "the caller has gone");
  }

  private void recordEnd(EventKind kind, @Nullable Attempt last, String detail) {
    isFinished = true;
    cancelDeadlineTimer();
    dropFallbackResponse();
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
        .recordEnd(kind, subject(), last, forwarder.rules(), millis, sendCount, detail);
  }

  private RequestLog.Subject subject() {
    String workspace = workspaceName();
    return new RequestLog.Subject(
        requestId, route == null ? "" : requireRoute().name(), workspace == null ? "" : workspace);
  }

  private void logAttempt(EventKind kind, Attempt of, String detail) {
    forwarder.requestLog().recordAttempt(kind, subject(), of, detail);
  }

  private void dropFallbackResponse() {
    BufferedResponse kept = fallbackResponse;
    fallbackResponse = null;
    if (kept != null) {
      kept.release();
    }
  }

  private void cancelDeadlineTimer() {
    Loop.Timer known = deadlineTimer;
    deadlineTimer = null;
    if (known != null) {
      known.cancel();
    }
  }
}
