package org.sageladder.entry.request;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.net.URIAuthority;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.AdmissionRequest;
import org.sageladder.core.limits.Gate;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.quarantine.Quarantine;
import org.sageladder.core.result.Outcome;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.CallerExchange;
import org.sageladder.entry.exchange.ForwardedEntity;

/**
 * Processes one request: admission by a gate and dispatch to a target, or forwarding to another
 * entry VM, and the response.
 *
 * <p>{@code isSettled} is set by whichever ends the flow first: a response, a refusal, the deadline
 * or the caller's disconnect. Later events of abandoned attempts are ignored, so the caller gets
 * exactly one response.
 */
final class RequestFlow {
  private static final int MAX_ATTEMPTS = 3;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Multiple of the mean service time that is reserved for running the request after its wait. */
  private static final double SERVICE_TIME_MARGIN = 2;

  /**
   * How long to wait for the response of a permitted run after its caller got an unknown outcome.
   */
  private static final Duration LATE_RESPONSE_TIMEOUT = Duration.ofSeconds(5);

  /** Why a flow is aborted before it has a response. */
  private enum AbortReason {
    DEADLINE,
    CALLER_GONE
  }

  private final FlowContext context;
  private final CallerExchange exchange;
  private final RequestHead head;
  private final Contract.Service service;
  private final @Nullable PermitRun run;
  private final long deadlineNanos;
  private final long attemptDeadlineNanos;
  private final AtomicBoolean isSettled = new AtomicBoolean();
  private final FlowState state = new FlowState();
  private int attemptCount;
  private volatile boolean isCallerDisconnected;
  private volatile boolean isSentToIssuer;
  private volatile boolean hasLostAttempt;
  private volatile @Nullable BodyPipe responseBody;
  private @Nullable ScheduledFuture<?> timeoutTimer;

  private RequestFlow(
      FlowContext context,
      CallerExchange exchange,
      RequestHead head,
      Contract.Service service,
      @Nullable PermitRun run) {
    this.context = context;
    this.run = run;
    this.exchange = exchange;
    this.head = head;
    this.service = service;
    long now = context.time().nanos();
    this.deadlineNanos = now + head.deadline().toNanos();
    this.attemptDeadlineNanos = now + head.attemptTimeout().toNanos();
  }

  /** Starts a flow and its deadline timer. */
  static RequestFlow start(
      FlowContext context, CallerExchange exchange, RequestHead head, Contract.Service service) {
    return start(new RequestFlow(context, exchange, head, service, null));
  }

  /** Starts the flow of the one copy of a request that its permit allows to run. */
  static RequestFlow startPermitted(
      FlowContext context,
      CallerExchange exchange,
      RequestHead head,
      Contract.Service service,
      PermitRun run) {
    return start(new RequestFlow(context, exchange, head, service, run));
  }

  private static RequestFlow start(RequestFlow flow) {
    flow.timeoutTimer = flow.schedule(() -> flow.abort(AbortReason.DEADLINE), flow.head.deadline());
    flow.exchange.onEnd(() -> flow.abort(AbortReason.CALLER_GONE));
    return flow;
  }

  private ScheduledFuture<?> schedule(Runnable action, Duration delay) {
    return context.timers().schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Requests a slot from {@code gate} and sends the request to the target of that slot. */
  void admitThrough(Gate gate) {
    admit(gate, "");
  }

  /** Forwards the request to an entry VM that holds a target of its service. */
  void forwardTo(Member peer) {
    recordEvent(
        EventKind.FORWARDED,
        peer.vm(),
        "no target of " + service.name() + " is held by this entry VM");
    forward(peer, new PeerAttempt(this, peer, false));
  }

  /** Forwards the request to the issuer of its permit, which decides on it. */
  void forwardToIssuer(Member issuer) {
    recordEvent(EventKind.FORWARDED, issuer.vm(), "issuer of the permit");
    isSentToIssuer = true;
    forward(issuer, new PeerAttempt(this, issuer, true));
  }

  private void forward(Member peer, PeerAttempt attempt) {
    if (!state.beginDispatch()) {
      return;
    }
    BasicHttpRequest request =
        new BasicHttpRequest(exchange.request().getMethod(), exchange.request().getPath());
    EndToEndHeaders.copy(exchange.request(), request, true);
    request.setHeader(Headers.REQUEST_ID, head.id());
    request.setHeader(Headers.DEADLINE, remainingMillis());
    request.setHeader(Headers.ATTEMPT_TIMEOUT, millisUntil(attemptDeadlineNanos));
    request.setHeader(Headers.FORWARDED_BY, context.vm());
    request.removeHeaders(Headers.DISPATCH_TOKEN);
    if (run != null) {
      request.setHeader(Headers.DISPATCH_TOKEN, run.dispatchToken());
    }
    send(new HttpHost(peer.host(), peer.port()), request, attempt);
  }

  void admit(Gate gate, String avoidTarget) {
    Quarantine quarantine = context.crashDetector().quarantine();
    if (quarantine.isEmpty()) {
      requestSlot(gate, avoidTarget);
      return;
    }
    try {
      exchange.sendContinue();
    } catch (java.io.IOException e) {
      abort(AbortReason.CALLER_GONE);
      return;
    }
    exchange
        .requestBody()
        .whenPrefixComplete(
            () -> {
              long remainingMillis =
                  quarantine.remainingMillis(fingerprint(), context.time().wallMillis());
              if (remainingMillis > 0) {
                refuse(
                    new Result.NotRun(
                        ResultCode.QUARANTINED,
                        Duration.ofMillis(remainingMillis),
                        "this request crashed two targets and is quarantined"));
              } else {
                requestSlot(gate, avoidTarget);
              }
            });
  }

  /**
   * Hash of the request that is equal for all its copies, whichever caller sends them. The permit
   * and the ids are not hashed.
   */
  long fingerprint() {
    EntityDetails entity = exchange.entity();
    return Hashing.komihash5_0()
        .hashStream()
        .putString(service.name())
        .putString(exchange.request().getMethod())
        .putString(head.path())
        .putLong(entity == null ? 0 : entity.getContentLength())
        .putLong(entity == null ? 0 : exchange.requestBody().prefixHash())
        .getAsLong();
  }

  private void requestSlot(Gate gate, String avoidTarget) {
    attemptCount++;
    Gate.Cancellable wait =
        gate.request(
            new AdmissionRequest(head.id(), slotDeadlineNanos(), avoidTarget, ""),
            admission -> onAdmission(gate, admission));
    state.setWait(wait);
  }

  /**
   * Time after which a slot would leave too little time to run the request before its deadline.
   *
   * <p>Under a cap the oldest request gets the next slot, and its caller is the next to time out.
   * If requests waited until their deadline, each would be aborted while it runs, and nearly all
   * work that the cap admits would be wasted. Ending the wait early also lets the caller receive
   * the not-run outcome before it leaves.
   */
  private long slotDeadlineNanos() {
    double workNanos = SERVICE_TIME_MARGIN * service.meanServiceMillis() * NANOS_PER_MILLI;
    long endNanos = attemptDeadlineNanos - deadlineNanos < 0 ? attemptDeadlineNanos : deadlineNanos;
    return endNanos - (long) Math.min(workNanos, head.attemptTimeout().toNanos() / 2.0);
  }

  private void onAdmission(Gate gate, Admission admission) {
    if (admission instanceof Admission.Refused refused) {
      refuse(refused.result());
      return;
    }
    Admission.Slot slot = ((Admission.Admitted) admission).slot();
    if (!state.beginDispatch()) {
      slot.release(Admission.Completion.UNUSED);
      return;
    }
    Holding holding = slot.target();
    recordEvent(EventKind.DISPATCHED, holding.target(), "try " + attemptCount);
    BasicHttpRequest request = new BasicHttpRequest(exchange.request().getMethod(), head.path());
    EndToEndHeaders.copy(exchange.request(), request, false);
    request.setHeader(Headers.TARGET_REQUEST_ID, head.id());
    request.setHeader(Headers.TARGET_DEADLINE, remainingMillis());
    send(
        new HttpHost(holding.host(), holding.port()), request, new TargetAttempt(this, gate, slot));
  }

  private void send(HttpHost host, BasicHttpRequest request, RequestAttempt attempt) {
    request.setScheme(host.getSchemeName());
    request.setAuthority(new URIAuthority(host));
    Runnable cancel =
        context
            .client()
            .send(
                host,
                request,
                ForwardedEntity.of(exchange.entity()),
                exchange.requestBody(),
                context.connectTimeout(),
                attempt);
    state.setCancelAction(cancel);
    try {
      exchange.sendContinue();
    } catch (java.io.IOException e) {
      abort(AbortReason.CALLER_GONE);
    }
  }

  private void abort(AbortReason reason) {
    if (run != null && exchange.requestBody().isComplete()) {
      if (reason == AbortReason.CALLER_GONE) {
        continueWithoutCaller();
        return;
      }
      if (state.isDispatched()) {
        awaitLateResponse();
        return;
      }
    }
    boolean isFirst = isSettled.compareAndSet(false, true);
    FlowState.End end = state.end();
    if (end == null) {
      return;
    }
    boolean isSent = end.isDispatched();
    end.cancelAction().run();
    stopTimer();
    if (!isFirst || reason == AbortReason.CALLER_GONE) {
      endRun(isFirst && !isSent);
      recordEvent(EventKind.CANCELLED, "", reason.name());
    } else if (isSent) {
      sendResult(new Result.Unknown(ResultCode.TARGET_TIMEOUT, "no response by the deadline"));
    } else {
      sendResult(
          Result.notRun(ResultCode.QUEUE_DEADLINE, "the deadline passed before a slot was free"));
    }
  }

  /**
   * Lets a permitted run continue after its caller disconnected. The caller will send the same
   * permit again: cancelling the run would leave the outcome unknown for good, whereas the recorded
   * response can be replayed.
   */
  private void continueWithoutCaller() {
    isCallerDisconnected = true;
    BodyPipe started = responseBody;
    if (started != null) {
      discard(started);
    }
  }

  /**
   * Reports an unknown outcome at the deadline of a dispatched run and keeps waiting, to record a
   * late response.
   */
  private void awaitLateResponse() {
    if (!state.runUnlessEnded(
        () -> timeoutTimer = schedule(this::stopAwaitingResponse, LATE_RESPONSE_TIMEOUT))) {
      return;
    }
    if (isSettled.compareAndSet(false, true)) {
      sendResult(new Result.Unknown(ResultCode.TARGET_TIMEOUT, "no response by the deadline"));
    }
  }

  private void stopAwaitingResponse() {
    FlowState.End end = state.end();
    if (end == null) {
      return;
    }
    endRun(false);
    end.cancelAction().run();
  }

  void endRun(boolean isNotRun) {
    if (run == null) {
      return;
    }
    if (isNotRun) {
      run.recordNotRun();
    } else {
      run.recordUnknown();
    }
  }

  /** Ends the flow with a refusal. */
  void refuse(Result.NotRun result) {
    if (isSettled.compareAndSet(false, true)) {
      finish();
      sendResult(result);
    }
  }

  void failUnknown(ResultCode code, String detail) {
    if (isSettled.compareAndSet(false, true)) {
      finish();
      sendResult(new Result.Unknown(code, detail));
    }
  }

  private void sendResult(Result decided) {
    Result result = provableResult(decided);
    recordEvent(
        result instanceof Result.NotRun ? EventKind.REFUSED : EventKind.FAILED,
        "",
        result.code().name());
    endRun(result instanceof Result.NotRun);
    context.counters().countResult(service.name(), result.code());
    if (run == null || !state.isDispatched()) {
      discard(exchange.requestBody());
    }
    HttpResponse response = LocalReplies.responseHead(result);
    addNewPermit(response, result.code().outcome());
    LocalReplies.send(exchange, response, result);
  }

  /**
   * Replaces a not-run result by an unknown one if another copy or an earlier attempt may have run.
   */
  private Result provableResult(Result decided) {
    if (isSentToIssuer) {
      return PermitEnforcer.unknownUnlessIssuer(decided);
    }
    if (hasLostAttempt && decided instanceof Result.NotRun notRun) {
      return new Result.Unknown(
          ResultCode.TARGET_LOST,
          "an earlier attempt was lost after it was sent; the retry ended with " + notRun.code());
    }
    return decided;
  }

  /** Adds a new permit for a retry, since a not-run outcome uses the permit up. */
  private void addNewPermit(HttpResponse response, Outcome outcome) {
    String newPermit = run != null && outcome == Outcome.NOT_RUN ? run.mintNewPermit() : "";
    if (!newPermit.isEmpty()) {
      response.setHeader(Headers.PERMIT, newPermit);
    }
  }

  /** Ends the flow without cancelling its last step. */
  void finish() {
    state.finish();
    stopTimer();
  }

  boolean isEnded() {
    return state.isEnded();
  }

  /** True once the result for the caller is decided, or the flow was aborted. */
  boolean isSettled() {
    return isSettled.get();
  }

  /** Marks that an attempt was lost after it was sent, so that not-run can no longer be proven. */
  void markAttemptLost() {
    hasLostAttempt = true;
  }

  /**
   * Returns the flow to waiting before a retry. Not-run is provable again while it waits, unless an
   * attempt was {@linkplain #markAttemptLost lost}.
   */
  void undoDispatch() {
    state.undoDispatch();
  }

  boolean canRetry(boolean isSent) {
    return attemptCount < MAX_ATTEMPTS
        && !isSettled.get()
        && (!isSent || exchange.entity() == null)
        && Duration.ofNanos(deadlineNanos - context.time().nanos()).toMillis() > 0;
  }

  FlowContext context() {
    return context;
  }

  Contract.Service service() {
    return service;
  }

  /** The run under a permit, or null if the request needs none. */
  @Nullable PermitRun run() {
    return run;
  }

  private void stopTimer() {
    ScheduledFuture<?> running = timeoutTimer;
    if (running != null) {
      running.cancel(false);
    }
  }

  private long remainingMillis() {
    return millisUntil(deadlineNanos);
  }

  private long millisUntil(long endNanos) {
    return Math.max(1, (endNanos - context.time().nanos()) / NANOS_PER_MILLI);
  }

  void recordEvent(EventKind kind, String subject, String detail) {
    context.events().record(kind, head.id(), head.customer(), subject, 0, detail);
  }

  /**
   * Forwards a response to the caller and streams its body.
   *
   * @return false if another result was settled before, or if the caller has disconnected and no
   *     run under a permit needs the response
   */
  boolean forwardResponse(
      HttpResponse response, @Nullable EntityDetails details, BodyPipe body, Outcome outcome) {
    if (!isSettled.compareAndSet(false, true)) {
      if (run != null) {
        discard(body);
      }
      return false;
    }
    addNewPermit(response, outcome);
    responseBody = body;
    boolean started =
        !isCallerDisconnected && exchange.respond(response, ForwardedEntity.of(details), body);
    if (started && !isCallerDisconnected) {
      return true;
    }
    if (run != null) {
      discard(body);
      return true;
    }
    abort(AbortReason.CALLER_GONE);
    return false;
  }

  static void discard(BodyPipe body) {
    try {
      body.discard();
    } catch (java.io.IOException ignored) {
      // The connection of the body is closed, so nothing is left to discard.
    }
  }
}
