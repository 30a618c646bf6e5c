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
 * One request on its way: gate, target, answer, or on to the entry VM that holds a gate.
 *
 * <p>{@code over} is set by whoever ends the flow: answer, refusal, deadline or the caller's going.
 * All later news of abandoned tries is dropped by it, so the caller gets exactly one answer.
 */
final class RequestFlow {
  private static final int MAX_ATTEMPTS = 3;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Mean service times that are kept free for the work when a wait for a slot ends. */
  private static final double SERVICE_TIME_MARGIN = 2;

  /** How long a run is still listened to after its caller was told "unknown". */
  private static final Duration LATE_RESPONSE_TIMEOUT = Duration.ofSeconds(5);

  /** Ends a flow before it has its answer. */
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
  private final AtomicBoolean settled = new AtomicBoolean();
  private final FlowState state = new FlowState();
  private int attempts;
  private volatile boolean isCallerGone;
  private volatile boolean isSentToIssuer;
  private volatile boolean hasLostAttempt;
  private volatile @Nullable BodyPipe responseBody;
  private @Nullable ScheduledFuture<?> timeoutTimer;

  private RequestFlow(
      FlowContext parts,
      CallerExchange exchange,
      RequestHead head,
      Contract.Service service,
      @Nullable PermitRun run) {
    this.context = parts;
    this.run = run;
    this.exchange = exchange;
    this.head = head;
    this.service = service;
    long now = parts.time().nanos();
    this.deadlineNanos = now + head.deadline().toNanos();
    this.attemptDeadlineNanos = now + head.attemptTimeout().toNanos();
  }

  /** Starts a flow with its deadline running. */
  static RequestFlow start(
      FlowContext parts, CallerExchange exchange, RequestHead head, Contract.Service service) {
    return start(new RequestFlow(parts, exchange, head, service, null));
  }

  /** Starts the flow of the one copy that a permit lets run. */
  static RequestFlow startPermitted(
      FlowContext parts,
      CallerExchange exchange,
      RequestHead head,
      Contract.Service service,
      PermitRun run) {
    return start(new RequestFlow(parts, exchange, head, service, run));
  }

  private static RequestFlow start(RequestFlow flow) {
    flow.timeoutTimer = flow.schedule(() -> flow.abort(AbortReason.DEADLINE), flow.head.deadline());
    flow.exchange.onEnd(() -> flow.abort(AbortReason.CALLER_GONE));
    return flow;
  }

  private ScheduledFuture<?> schedule(Runnable action, Duration delay) {
    return context.timers().schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Asks {@code gate} for a slot and sends the request to its target. */
  void admitThrough(Gate gate) {
    admit(gate, "");
  }

  /** Passes the request on to the entry VM that holds a gate. */
  void forwardTo(Member peer) {
    recordEvent(EventKind.FORWARDED, peer.vm(), "no target of " + service.name() + " is held here");
    forward(peer, new PeerAttempt(this, peer, false));
  }

  /** Passes the request on to the entry VM that decides on its permit. */
  void forwardToIssuer(Member issuer) {
    recordEvent(EventKind.FORWARDED, issuer.vm(), "it is the home of the permit");
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
              long held = quarantine.remainingMillis(fingerprint(), context.time().wallMillis());
              if (held > 0) {
                refuse(
                    new Result.NotRun(
                        ResultCode.QUARANTINED,
                        Duration.ofMillis(held),
                        "this request crashed two targets; it is tried again later"));
              } else {
                requestSlot(gate, avoidTarget);
              }
            });
  }

  /** Alike for copies of one request, whoever sends them; the permit and ids do not count. */
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
    attempts++;
    Gate.Cancellable wait =
        gate.request(
            new AdmissionRequest(head.id(), slotDeadlineNanos(), avoidTarget, ""),
            admission -> onAdmission(gate, admission));
    state.setWait(wait);
  }

  /**
   * The moment after which a slot comes too late for the whole answer to come in time.
   *
   * <p>Failure guarded against: under a cap the oldest request gets the next slot, and the oldest
   * is the one whose caller is about to go. It would be cut in the middle of its work, again and
   * again, and nearly all work that the cap lets through would be thrown away. So a wait ends while
   * there is time for the work, and its caller is told "not run" while it still listens.
   */
  private long slotDeadlineNanos() {
    double workNanos = SERVICE_TIME_MARGIN * service.meanServiceMillis() * NANOS_PER_MILLI;
    long end = attemptDeadlineNanos - deadlineNanos < 0 ? attemptDeadlineNanos : deadlineNanos;
    return end - (long) Math.min(workNanos, head.attemptTimeout().toNanos() / 2.0);
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
    Holding target = slot.target();
    recordEvent(EventKind.DISPATCHED, target.target(), "try " + attempts);
    BasicHttpRequest request = new BasicHttpRequest(exchange.request().getMethod(), head.path());
    EndToEndHeaders.copy(exchange.request(), request, false);
    request.setHeader(Headers.TARGET_REQUEST_ID, head.id());
    request.setHeader(Headers.TARGET_DEADLINE, remainingMillis());
    send(new HttpHost(target.host(), target.port()), request, new TargetAttempt(this, gate, slot));
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

  private void abort(AbortReason ending) {
    if (run != null && exchange.requestBody().isComplete()) {
      if (ending == AbortReason.CALLER_GONE) {
        continueWithoutCaller();
        return;
      }
      if (state.isDispatched()) {
        awaitLateResponse();
        return;
      }
    }
    boolean first = settled.compareAndSet(false, true);
    FlowState.End end = state.end();
    if (end == null) {
      return;
    }
    boolean sent = end.isDispatched();
    end.cancelAction().run();
    stopTimer();
    if (!first || ending == AbortReason.CALLER_GONE) {
      endRun(first && !sent);
      recordEvent(EventKind.CANCELLED, "", ending.name());
    } else if (sent) {
      sendResult(new Result.Unknown(ResultCode.TARGET_TIMEOUT, "no answer by the deadline"));
    } else {
      sendResult(
          Result.notRun(ResultCode.QUEUE_DEADLINE, "the deadline passed before a slot was free"));
    }
  }

  /**
   * The caller of a donation or bid is gone and will ask again with the same permit. Cancelling
   * would leave it with "unknown" for good; the run goes on, and its answer is recorded.
   */
  private void continueWithoutCaller() {
    isCallerGone = true;
    BodyPipe begun = responseBody;
    if (begun != null) {
      discard(begun);
    }
  }

  /** The deadline passed on a run that may still be answered: say so, and record what comes. */
  private void awaitLateResponse() {
    if (!state.runUnlessEnded(
        () -> timeoutTimer = schedule(this::stopAwaitingResponse, LATE_RESPONSE_TIMEOUT))) {
      return;
    }
    if (settled.compareAndSet(false, true)) {
      sendResult(new Result.Unknown(ResultCode.TARGET_TIMEOUT, "no answer by the deadline"));
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

  void endRun(boolean notRun) {
    if (run == null) {
      return;
    }
    if (notRun) {
      run.recordNotRun();
    } else {
      run.recordUnknown();
    }
  }

  /** Ends the flow with a refusal. */
  void refuse(Result.NotRun result) {
    if (settled.compareAndSet(false, true)) {
      finish();
      sendResult(result);
    }
  }

  void failUnknown(ResultCode code, String detail) {
    if (settled.compareAndSet(false, true)) {
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
    HttpResponse answer = LocalReplies.responseHead(result);
    addNewPermit(answer, result.code().outcome());
    LocalReplies.send(exchange, answer, result);
  }

  /** Says "unknown" in place of "not run" where another copy or an earlier try may have run. */
  private Result provableResult(Result decided) {
    if (isSentToIssuer) {
      return PermitEnforcer.unknownUnlessIssuer(decided);
    }
    if (hasLostAttempt && decided instanceof Result.NotRun notRun) {
      return new Result.Unknown(
          ResultCode.TARGET_LOST, "an earlier try was lost, and then " + notRun.code());
    }
    return decided;
  }

  /** A permit told "not run" is used up, so the answer brings the one for a new try. */
  private void addNewPermit(HttpResponse response, Outcome outcome) {
    String fresh = run != null && outcome == Outcome.NOT_RUN ? run.mintNewPermit() : "";
    if (!fresh.isEmpty()) {
      response.setHeader(Headers.PERMIT, fresh);
    }
  }

  /** Ends the flow, whose last step needs no cancelling. */
  void finish() {
    state.finish();
    stopTimer();
  }

  boolean isEnded() {
    return state.isEnded();
  }

  /** True once the caller has its answer, or has gone. */
  boolean isSettled() {
    return settled.get();
  }

  /** A try was lost after it was sent, so "not run" can no longer be proven. */
  void markAttemptLost() {
    hasLostAttempt = true;
  }

  /** The only try so far provably did not run: while the next waits, "not run" is true again. */
  void undoDispatch() {
    state.undoDispatch();
  }

  boolean canRetry(boolean isSent) {
    return attempts < MAX_ATTEMPTS
        && !settled.get()
        && (!isSent || exchange.entity() == null)
        && Duration.ofNanos(deadlineNanos - context.time().nanos()).toMillis() > 0;
  }

  FlowContext context() {
    return context;
  }

  Contract.Service service() {
    return service;
  }

  /** The run of a permit, or null where the request needs none. */
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

  /** Passes an answer on to the caller; its body follows as it comes. */
  boolean forwardResponse(
      HttpResponse response, @Nullable EntityDetails details, BodyPipe body, Outcome outcome) {
    if (!settled.compareAndSet(false, true)) {
      if (run != null) {
        discard(body);
      }
      return false;
    }
    addNewPermit(response, outcome);
    responseBody = body;
    boolean begun = !isCallerGone && exchange.respond(response, ForwardedEntity.of(details), body);
    if (begun && !isCallerGone) {
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
      // The connection that the body came on is gone, and so is the rest of the body.
    }
  }
}
