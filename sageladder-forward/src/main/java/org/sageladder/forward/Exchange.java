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
  /** An answer up to this size is held until it is whole; see {@link HeldAnswer}. */
  private static final long MOST_HELD_BYTES = 256 << 10;

  /** Targets that could not be reached, or were another, before the request is given up. */
  private static final int MOST_UNREACHED = 4;

  /** Time before the caller's deadline at which it gets its answer, to reach it in time. */
  private static final long ANSWER_MARGIN_MILLIS = 20;

  /** With less time left than this a further target has no chance to answer. */
  private static final long LEAST_FOR_ANOTHER_MILLIS = 30;

  /** A caller waits as told up to this part of the time it has left. */
  private static final double LONGEST_RETRY_PART = 0.33;

  /** Wait for a configuration: an entry VM that has started knows one within about this time. */
  private static final long NO_RULES_RETRY_MILLIS = 500;

  /** A caller refused by a leaving VM finds another one at once. */
  private static final long STOPPING_RETRY_MILLIS = 20;

  /** In place of a time to come back: the same request would be refused again. */
  private static final long NEVER = -1;

  private static final HttpRequest NO_REQUEST =
      new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");

  private final Forwarder forwarder;
  private final CallerConnection caller;
  private final HttpRequest head;
  private final long startedAt;
  private final HeldBody body = new HeldBody();
  private final Set<String> tried = new HashSet<>();
  private @Nullable RouteRule route;
  private Sender sender = new Sender.Anonymous();
  private boolean keysRequired;
  private final QuotaClaim claim;
  private String id = "";
  private String service = "";
  private long object;
  private long endsAt = Long.MAX_VALUE;
  private Loop.@Nullable Timer timer;
  private @Nullable Attempt attempt;
  private int sends;
  private int unreached;
  private boolean mayHaveRun;
  private boolean waitsForTurn;
  private boolean placed;
  private boolean over;
  private boolean counted;
  private boolean passing;
  private @Nullable Runnable answerInTurn;
  private @Nullable HeldAnswer fallBack;

  Exchange(Forwarder forwarder, CallerConnection caller, HttpRequest head) {
    this.forwarder = forwarder;
    this.caller = caller;
    this.head = head;
    this.startedAt = forwarder.loop().now();
    this.claim = new QuotaClaim(forwarder);
    forwarder.begun();
  }

  /** An exchange for bytes that are no request; it has an answer only. */
  static Exchange unreadable(Forwarder forwarder, CallerConnection caller) {
    return new Exchange(forwarder, caller, NO_REQUEST);
  }

  HttpRequest head() {
    return head;
  }

  String requestId() {
    return id;
  }

  HeldBody body() {
    return body;
  }

  /** True where the contract has workspaces, so that the caller's key stays here. */
  boolean hidesKey() {
    return keysRequired;
  }

  /** Name of the workspace whose request it is, or null where it is of none. */
  @Nullable String workspaceName() {
    Workspace workspace = sender.workspaceOrNull();
    return workspace == null ? null : workspace.name();
  }

  /** True where the request must not run twice. */
  boolean runsOnce() {
    return !route().idempotent();
  }

  /** Tells requests apart by what a target might crash at: caller, path and body. */
  long fingerprint() {
    return Hashing.komihash5_0()
        .hashCharsToLong(
            caller.callerHost() + '\n' + head.method() + head.uri() + '\n' + body.fingerprint());
  }

  /** Time until the request must be answered. */
  long millisLeft() {
    return Math.max(0, endsAt - forwarder.loop().now());
  }

  /** Takes the head in; {@code first} where no other request of the connection is unanswered. */
  void begin(boolean first) {
    String named = forwarder.dialect().requestId(head.headers());
    id = named == null ? "" : named;
    ResultCode fault = HeadCheck.fault(head, named);
    if (fault != null) {
      refuseUnread(fault);
      return;
    }
    RoutingRules rules = forwarder.rules();
    if (rules == null) {
      refuse(ResultCode.NO_CONTRACT_IN_FORCE, NO_RULES_RETRY_MILLIS, "no configuration known yet");
      return;
    }
    if (HttpUtil.getContentLength(head, 0L) > rules.limits().maxBodyBytes()) {
      refuseUnread(ResultCode.BODY_TOO_LARGE);
      return;
    }
    Optional<RouteRule> match = rules.match(HeadCheck.host(head), HeadCheck.path(head));
    if (match.isEmpty()) {
      answerOwn(ResultCode.UNKNOWN_ROUTE, 0, "version " + rules.version());
      return;
    }
    if (!identify(match.get(), rules)) {
      refuseUnknownKey(rules);
      return;
    }
    accept(match.get(), first);
  }

  /** Looks up who sends the request; false where its API key is not known. */
  private boolean identify(RouteRule matched, RoutingRules rules) {
    keysRequired = rules.keys().areRequired();
    sender = Sender.of(head.headers(), forwarder.dialect(), matched, rules.keys());
    return !(sender instanceof Sender.Unknown);
  }

  /**
   * Refuses a key that no workspace holds by the rules in force. A caller takes 401 as final; where
   * the rules may be old, its key may be a new one, and another VM may know it.
   */
  private void refuseUnknownKey(RoutingRules rules) {
    String version = "version " + rules.version();
    if (forwarder.mayMissRules()) {
      end(ResultCode.RULES_OUT_OF_DATE, NO_RULES_RETRY_MILLIS, version);
      return;
    }
    end(ResultCode.API_KEY_UNKNOWN, NEVER, version);
  }

  private void accept(RouteRule matched, boolean first) {
    route = matched;
    service = forwarder.turn(matched);
    long wanted = forwarder.dialect().deadlineMillis(head.headers());
    long most = matched.timeoutMillis();
    if (wanted >= 0) {
      most = Math.min(most, Math.max(0, wanted - ANSWER_MARGIN_MILLIS));
    }
    endsAt = startedAt + most;
    timer = forwarder.loop().after(most, this::timeUp);
    String key = forwarder.dialect().objectKey(head.headers());
    String subject = key == null ? id : key;
    object =
        Hashing.komihash5_0().hashCharsToLong(matched.host() + matched.prefix() + '\n' + subject);
    forwarder.retries().recordRequest(service, startedAt);
    waitsForTurn = !first && !matched.idempotent();
    if (HttpUtil.is100ContinueExpected(head)) {
      caller.write(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
      caller.flush();
    }
  }

  /** Takes bytes of the body over. */
  void bodyBytes(ByteBuf bytes) {
    if (over) {
      bytes.release();
      return;
    }
    body.add(bytes);
    if (body.total() > forwarder.callerLimits().maxBodyBytes()) {
      stopAttempt();
      refuseUnread(ResultCode.BODY_TOO_LARGE);
      return;
    }
    bodyMoved();
  }

  /** The body is whole. */
  void bodyEnd() {
    body.end();
    if (!over) {
      bodyMoved();
    }
  }

  private void bodyMoved() {
    Attempt known = attempt;
    if (known != null) {
      known.moreBody();
      return;
    }
    if (!placed && !waitsForTurn && body.isReady()) {
      place();
    }
  }

  /** True where the caller may send more of the body. */
  boolean takesMore() {
    Attempt known = attempt;
    return known == null ? body.takesMore() : known.takesBody();
  }

  /** Looks again whether the caller may send more. */
  void readOn() {
    caller.readOn();
  }

  /** All requests before this one on its connection are answered. */
  void turn() {
    Runnable answer = answerInTurn;
    if (answer != null) {
      answerInTurn = null;
      answer.run();
      return;
    }
    if (waitsForTurn) {
      waitsForTurn = false;
      bodyMoved();
    }
    callerWritable();
  }

  private RouteRule route() {
    RouteRule known = route;
    if (known == null) {
      throw new IllegalStateException("the request has no route");
    }
    return known;
  }

  private void place() {
    placed = true;
    long held = forwarder.crashes().heldMillis(this::fingerprint);
    if (held > 0) {
      // 503 and not the code's own status: should the suspicion be wrong, the caller comes back.
      answerOwn(
          ResultCode.QUARANTINED, mayHaveRun ? 502 : 503, spread(held), "it has crashed targets");
      return;
    }
    long now = forwarder.loop().now();
    RoutingRules rules = forwarder.rules();
    // The key may have been taken away while the request waited or was sent before.
    if (rules != null && !identify(route(), rules)) {
      refuseUnknownKey(rules);
      return;
    }
    QuotaDecision quota = claim.ask(sender.workspaceOrNull(), this::quotaDecided);
    if (!(quota instanceof QuotaDecision.Granted)) {
      quotaDecided(quota);
      return;
    }
    PlacementRequest order =
        new PlacementRequest(route(), service, object, millisLeft(), sender.workspaceOrNull());
    ServiceRule rule = rules == null ? null : rules.service(service).orElse(null);
    PlacementDecision decision = forwarder.placement().place(order, rule, tried, now);
    if (decision instanceof PlacementDecision.Send send) {
      if (!forwarder.hasTimeFor(send.expectedWaitMillis() + send.expectedRunMillis())) {
        end(ResultCode.STOPPING, STOPPING_RETRY_MILLIS, "no time left before the stop");
        return;
      }
      Attempt next = new Attempt(forwarder, this, order, send);
      attempt = next;
      tried.add(send.target().facts().id());
      next.start(!route().idempotent());
      return;
    }
    PlacementDecision.Refuse refuse = (PlacementDecision.Refuse) decision;
    String why = forwarder.requests().refusal(refuse, order.remainingMillis());
    end(ResultCode.NO_TARGET, refuse.retryAfterMillis(), why);
  }

  /** Goes on with what the workspace's quota allows; a pending decision comes here later. */
  private void quotaDecided(QuotaDecision decision) {
    if (over || decision instanceof QuotaDecision.Pending) {
      return;
    }
    if (decision instanceof QuotaDecision.Refused refused) {
      forwarder.metrics().count("quota_refused");
      end(ResultCode.QUOTA_EXCEEDED, refused.retryAfterMillis(), refused.detail());
      return;
    }
    place();
  }

  /** No byte of the request was sent to the target of {@code failed}. */
  void notSent(Attempt failed, String cause) {
    attempt = null;
    unreached++;
    note(EventKind.RETRIED, failed, "not reached: " + cause);
    if (unreached < MOST_UNREACHED && millisLeft() > LEAST_FOR_ANOTHER_MILLIS) {
      place();
      return;
    }
    end(ResultCode.NO_TARGET, 0, "targets not reached");
  }

  /** The target has not run the request and will not. */
  void notRun(Attempt refused, boolean otherTarget) {
    attempt = null;
    note(EventKind.RETRIED, refused, otherTarget ? "another target is there" : "refused");
    if (otherTarget) {
      forwarder.targets().remove(refused.target().facts().incarnation());
      forwarder.forget(refused.target().facts().incarnation());
      unreached++;
    } else {
      sends++;
    }
    if (mayTryAnother()) {
      place();
      return;
    }
    end(
        ResultCode.TARGET_REFUSED,
        (long) refused.decision().expectedRunMillis(),
        "refused by its target");
  }

  /** The target may have run the request, and there is no whole answer. */
  void lost(Attempt failed, String cause) {
    attempt = null;
    mayHaveRun = true;
    claim.spend();
    sends++;
    note(EventKind.FAILED, failed, cause);
    if (passing) {
      breakOff("the target's answer broke off: " + cause);
      return;
    }
    if (route().idempotent() && mayTryAnother()) {
      place();
      return;
    }
    end(ResultCode.TARGET_LOST, 0, cause);
  }

  private boolean mayTryAnother() {
    return body.isRepeatable()
        && sends < route().maxTargets()
        && unreached < MOST_UNREACHED
        && millisLeft() > LEAST_FOR_ANOTHER_MILLIS
        && forwarder.retries().tryAcquire(service, forwarder.loop().now());
  }

  /** The answer is whole. */
  void whole(Attempt done, HeldAnswer answer) {
    attempt = null;
    claim.spend();
    sends++;
    if (passing) {
      caller.write(new DefaultLastHttpContent());
      finish(EventKind.ANSWERED, done, "status " + answer.status(), mustClose());
      return;
    }
    if (answer.status() >= 500 && route().idempotent() && mayTryAnother()) {
      note(EventKind.RETRIED, done, "status " + answer.status());
      mayHaveRun = true;
      dropFallBack();
      fallBack = answer;
      place();
      return;
    }
    deliver(done, answer);
  }

  private void deliver(@Nullable Attempt from, HeldAnswer answer) {
    over = true;
    cancelTimer();
    inTurn(
        () -> {
          boolean close = mustClose();
          answer.writeWhole(caller, head.method().equals(HttpMethod.HEAD), close);
          finish(EventKind.ANSWERED, from, "status " + answer.status(), close);
        });
  }

  /** Takes bytes of an answer over. */
  void answerBytes(Attempt from, HeldAnswer answer, ByteBuf bytes) {
    if (passing) {
      caller.write(new DefaultHttpContent(bytes));
      caller.flush();
      from.reading(caller.isWritable());
      return;
    }
    answer.add(bytes);
    if (answer.size() <= MOST_HELD_BYTES) {
      return;
    }
    if (!caller.isTurnOf(this)) {
      from.reading(false);
      return;
    }
    passing = true;
    answer.writeBeginning(caller, mustClose());
    caller.flush();
    from.reading(caller.isWritable());
  }

  /** The caller takes more bytes, or it is this request's turn. */
  void callerWritable() {
    Attempt known = attempt;
    if (known != null) {
      known.reading(true);
    }
  }

  private void timeUp() {
    if (over) {
      return;
    }
    Attempt known = attempt;
    if (known != null) {
      mayHaveRun |= known.isSent();
      known.target().recordOutcome(false, forwarder.loop().now());
      note(EventKind.FAILED, known, "no answer in time");
      stopAttempt();
    }
    if (passing) {
      breakOff("the time was up in the middle of the answer");
      return;
    }
    end(ResultCode.TARGET_TIMEOUT, 0, "time up");
  }

  private void stopAttempt() {
    Attempt known = attempt;
    attempt = null;
    if (known != null) {
      if (known.isSent()) {
        claim.spend();
      }
      known.abandon();
    }
  }

  /** Ends the request without an answer of a target, or with the failure that one gave before. */
  private void end(ResultCode code, long retryMillis, String why) {
    HeldAnswer kept = fallBack;
    if (kept != null) {
      fallBack = null;
      deliver(null, kept);
      return;
    }
    if (!mayHaveRun) {
      ResultCode notRun = code.outcome() == Outcome.NOT_RUN ? code : ResultCode.QUEUE_DEADLINE;
      refuse(notRun, retryMillis, why);
      return;
    }
    ResultCode unknown = code.outcome() == Outcome.NOT_RUN ? ResultCode.TARGET_LOST : code;
    answerOwn(unknown, 0, why);
  }

  private void refuse(ResultCode code, long retryMillis, String why) {
    answerOwn(code, retryMillis == NEVER ? 0 : Math.max(1, spread(retryMillis)), why);
  }

  /** Spreads returns over as long again, so that those refused together do not come back so. */
  private long spread(long retryMillis) {
    long told = Math.round(retryMillis * (0.75 + forwarder.spread()));
    if (endsAt == Long.MAX_VALUE) {
      return told;
    }
    return Math.min(told, Math.round(millisLeft() * LONGEST_RETRY_PART));
  }

  /** Refuses what cannot be read as a request, and closes, since what follows cannot be either. */
  void refuseUnread(ResultCode code) {
    over = true;
    cancelTimer();
    inTurn(() -> writeOwn(new OwnAnswer(code, code.httpStatus(), 0, true), "not readable"));
  }

  private void answerOwn(ResultCode code, long retryMillis, String why) {
    answerOwn(code, code.httpStatus(), retryMillis, why);
  }

  private void answerOwn(ResultCode code, int status, long retryMillis, String why) {
    over = true;
    cancelTimer();
    inTurn(() -> writeOwn(new OwnAnswer(code, status, retryMillis, mustClose()), why));
  }

  private void inTurn(Runnable answer) {
    if (caller.isTurnOf(this)) {
      answer.run();
      return;
    }
    answerInTurn = answer;
  }

  private void writeOwn(OwnAnswer answer, String why) {
    caller.write(answer.to(id, forwarder.dialect()));
    boolean notRun = answer.code().outcome() == Outcome.NOT_RUN;
    String detail = answer.code().name() + " " + why;
    finish(notRun ? EventKind.REFUSED : EventKind.FAILED, null, detail, answer.close());
  }

  private boolean mustClose() {
    boolean leaving = forwarder.isStopping() && caller.isLast(this);
    return leaving || !HttpUtil.isKeepAlive(head) || bodyComes();
  }

  /** True where bytes of the body are still to come: what follows them cannot be found. */
  private boolean bodyComes() {
    boolean hasBody =
        HttpUtil.isTransferEncodingChunked(head) || HttpUtil.getContentLength(head, 0L) > 0;
    return hasBody && !body.isWhole();
  }

  private void breakOff(String why) {
    forwarder.metrics().count("answers_broken_off");
    ended(EventKind.FAILED, null, why);
    caller.breakOff();
  }

  private void finish(EventKind kind, @Nullable Attempt last, String detail, boolean close) {
    ended(kind, last, detail);
    caller.ended(this, close);
  }

  /** The caller's connection is closed; whatever still runs is dropped at once. */
  void callerGone() {
    if (over && answerInTurn == null) {
      return;
    }
    stopAttempt();
    answerInTurn = null;
    ended(EventKind.CANCELLED, null, "the caller has gone");
  }

  private void ended(EventKind kind, @Nullable Attempt last, String detail) {
    over = true;
    cancelTimer();
    dropFallBack();
    body.release();
    claim.release();
    if (counted) {
      return;
    }
    counted = true;
    forwarder.done();
    long millis = forwarder.loop().now() - startedAt;
    forwarder.requests().end(kind, subject(), last, forwarder.rules(), millis, sends, detail);
  }

  private RequestLog.Subject subject() {
    String workspace = workspaceName();
    return new RequestLog.Subject(
        id, route == null ? "" : route().name(), workspace == null ? "" : workspace);
  }

  private void note(EventKind kind, Attempt of, String detail) {
    forwarder.requests().attempt(kind, subject(), of, detail);
  }

  private void dropFallBack() {
    HeldAnswer kept = fallBack;
    fallBack = null;
    if (kept != null) {
      kept.release();
    }
  }

  private void cancelTimer() {
    Loop.Timer known = timer;
    timer = null;
    if (known != null) {
      known.cancel();
    }
  }
}
