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
import org.sageladder.entry.exchange.CarriedEntity;

/**
 * One request on its way: gate, target, answer, or on to the entry VM that holds a gate.
 *
 * <p>{@code over} is set by whoever ends the flow: answer, refusal, deadline or the caller's going.
 * All later news of abandoned tries is dropped by it, so the caller gets exactly one answer.
 */
final class RequestFlow {
  private static final int MOST_TRIES = 3;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Mean service times that are kept free for the work when a wait for a slot ends. */
  private static final double WORK_MARGIN = 2;

  /** How long a run is still listened to after its caller was told "unknown". */
  private static final Duration LATE_ANSWERS = Duration.ofSeconds(5);

  /** Ends a flow before it has its answer. */
  private enum Ending {
    DEADLINE,
    CALLER_GONE
  }

  private final FlowParts parts;
  private final CallerExchange exchange;
  private final RequestHead head;
  private final Contract.Service service;
  private final @Nullable PermitRun run;
  private final long deadlineNanos;
  private final long tryEndNanos;
  private final AtomicBoolean over = new AtomicBoolean();
  private final FlowState state = new FlowState();
  private int tries;
  private volatile boolean callerGone;
  private volatile boolean toHome;
  private volatile boolean lostTry;
  private volatile @Nullable BodyPipe answerBody;
  private @Nullable ScheduledFuture<?> timer;

  private RequestFlow(
      FlowParts parts,
      CallerExchange exchange,
      RequestHead head,
      Contract.Service service,
      @Nullable PermitRun run) {
    this.parts = parts;
    this.run = run;
    this.exchange = exchange;
    this.head = head;
    this.service = service;
    long now = parts.time().nanos();
    this.deadlineNanos = now + head.deadline().toNanos();
    this.tryEndNanos = now + head.tryTime().toNanos();
  }

  /** Starts a flow with its deadline running. */
  static RequestFlow begin(
      FlowParts parts, CallerExchange exchange, RequestHead head, Contract.Service service) {
    return begin(new RequestFlow(parts, exchange, head, service, null));
  }

  /** Starts the flow of the one copy that a permit lets run. */
  static RequestFlow beginPermitted(
      FlowParts parts,
      CallerExchange exchange,
      RequestHead head,
      Contract.Service service,
      PermitRun run) {
    return begin(new RequestFlow(parts, exchange, head, service, run));
  }

  private static RequestFlow begin(RequestFlow flow) {
    flow.timer = flow.later(() -> flow.giveUp(Ending.DEADLINE), flow.head.deadline());
    flow.exchange.onGone(() -> flow.giveUp(Ending.CALLER_GONE));
    return flow;
  }

  private ScheduledFuture<?> later(Runnable action, Duration delay) {
    return parts.timers().schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Asks {@code gate} for a slot and sends the request to its target. */
  void through(Gate gate) {
    admit(gate, "");
  }

  /** Passes the request on to the entry VM that holds a gate. */
  void forwardTo(Member member) {
    record(EventKind.FORWARDED, member.vm(), "no target of " + service.name() + " is held here");
    passTo(member, new PeerLeg(this, member, false));
  }

  /** Passes the request on to the entry VM that decides on its permit. */
  void forwardToHome(Member member) {
    record(EventKind.FORWARDED, member.vm(), "it is the home of the permit");
    toHome = true;
    passTo(member, new PeerLeg(this, member, true));
  }

  private void passTo(Member member, PeerLeg leg) {
    if (!state.beginDispatch()) {
      return;
    }
    BasicHttpRequest request =
        new BasicHttpRequest(exchange.request().getMethod(), exchange.request().getPath());
    PassedHeaders.copy(exchange.request(), request, true);
    request.setHeader(Headers.REQUEST_ID, head.id());
    request.setHeader(Headers.DEADLINE, remainingMillis());
    request.setHeader(Headers.TRY, millisUntil(tryEndNanos));
    request.setHeader(Headers.FORWARDED_BY, parts.vm());
    request.removeHeaders(Headers.DISPATCH);
    if (run != null) {
      request.setHeader(Headers.DISPATCH, run.dispatch());
    }
    send(new HttpHost(member.host(), member.port()), request, leg);
  }

  void admit(Gate gate, String avoid) {
    Quarantine quarantine = parts.crashes().quarantine();
    if (quarantine.isEmpty()) {
      askGate(gate, avoid);
      return;
    }
    try {
      exchange.acceptBody();
    } catch (java.io.IOException e) {
      giveUp(Ending.CALLER_GONE);
      return;
    }
    exchange
        .requestBody()
        .whenPrefixKnown(
            () -> {
              long held = quarantine.remainingMillis(fingerprint(), parts.time().wallMillis());
              if (held > 0) {
                refuse(
                    new Result.NotRun(
                        ResultCode.QUARANTINED,
                        Duration.ofMillis(held),
                        "this request crashed two targets; it is tried again later"));
              } else {
                askGate(gate, avoid);
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

  private void askGate(Gate gate, String avoid) {
    tries++;
    Gate.Cancellable wait =
        gate.request(
            new AdmissionRequest(head.id(), lastUsefulSlotNanos(), avoid, ""),
            admission -> decided(gate, admission));
    state.waitFor(wait);
  }

  /**
   * The moment after which a slot comes too late for the whole answer to come in time.
   *
   * <p>Failure guarded against: under a cap the oldest request gets the next slot, and the oldest
   * is the one whose caller is about to go. It would be cut in the middle of its work, again and
   * again, and nearly all work that the cap lets through would be thrown away. So a wait ends while
   * there is time for the work, and its caller is told "not run" while it still listens.
   */
  private long lastUsefulSlotNanos() {
    double workNanos = WORK_MARGIN * service.meanServiceMillis() * NANOS_PER_MILLI;
    long end = tryEndNanos - deadlineNanos < 0 ? tryEndNanos : deadlineNanos;
    return end - (long) Math.min(workNanos, head.tryTime().toNanos() / 2.0);
  }

  private void decided(Gate gate, Admission admission) {
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
    record(EventKind.DISPATCHED, target.target(), "try " + tries);
    BasicHttpRequest request = new BasicHttpRequest(exchange.request().getMethod(), head.path());
    PassedHeaders.copy(exchange.request(), request, false);
    request.setHeader(Headers.TARGET_REQUEST_ID, head.id());
    request.setHeader(Headers.TARGET_DEADLINE, remainingMillis());
    send(new HttpHost(target.host(), target.port()), request, new TargetLeg(this, gate, slot));
  }

  private void send(HttpHost host, BasicHttpRequest request, Leg leg) {
    request.setScheme(host.getSchemeName());
    request.setAuthority(new URIAuthority(host));
    Runnable cancel =
        parts
            .client()
            .send(
                host,
                request,
                CarriedEntity.of(exchange.entity()),
                exchange.requestBody(),
                parts.connectTimeout(),
                leg);
    state.step(cancel);
    try {
      exchange.acceptBody();
    } catch (java.io.IOException e) {
      giveUp(Ending.CALLER_GONE);
    }
  }

  private void giveUp(Ending ending) {
    if (run != null && exchange.requestBody().isWhole()) {
      if (ending == Ending.CALLER_GONE) {
        goOnAlone();
        return;
      }
      if (state.isDispatched()) {
        listenOn();
        return;
      }
    }
    boolean first = over.compareAndSet(false, true);
    FlowState.End end = state.end();
    if (end == null) {
      return;
    }
    boolean sent = end.dispatched();
    end.cancelStep().run();
    stopTimer();
    if (!first || ending == Ending.CALLER_GONE) {
      endRun(first && !sent);
      record(EventKind.CANCELLED, "", ending.name());
    } else if (sent) {
      answer(new Result.Unknown(ResultCode.TARGET_TIMEOUT, "no answer by the deadline"));
    } else {
      answer(
          Result.notRun(ResultCode.QUEUE_DEADLINE, "the deadline passed before a slot was free"));
    }
  }

  /**
   * The caller of a donation or bid is gone and will ask again with the same permit. Cancelling
   * would leave it with "unknown" for good; the run goes on, and its answer is recorded.
   */
  private void goOnAlone() {
    callerGone = true;
    BodyPipe begun = answerBody;
    if (begun != null) {
      discard(begun);
    }
  }

  /** The deadline passed on a run that may still be answered: say so, and record what comes. */
  private void listenOn() {
    if (!state.whileOpen(() -> timer = later(this::stopListening, LATE_ANSWERS))) {
      return;
    }
    if (over.compareAndSet(false, true)) {
      answer(new Result.Unknown(ResultCode.TARGET_TIMEOUT, "no answer by the deadline"));
    }
  }

  private void stopListening() {
    FlowState.End end = state.end();
    if (end == null) {
      return;
    }
    endRun(false);
    end.cancelStep().run();
  }

  void endRun(boolean notRun) {
    if (run == null) {
      return;
    }
    if (notRun) {
      run.notRun();
    } else {
      run.unknown();
    }
  }

  /** Ends the flow with a refusal. */
  void refuse(Result.NotRun result) {
    if (over.compareAndSet(false, true)) {
      finish();
      answer(result);
    }
  }

  void unknown(ResultCode code, String detail) {
    if (over.compareAndSet(false, true)) {
      finish();
      answer(new Result.Unknown(code, detail));
    }
  }

  private void answer(Result decided) {
    Result result = provable(decided);
    record(
        result instanceof Result.NotRun ? EventKind.REFUSED : EventKind.FAILED,
        "",
        result.code().name());
    endRun(result instanceof Result.NotRun);
    parts.counters().result(service.name(), result.code());
    if (run == null || !state.isDispatched()) {
      discard(exchange.requestBody());
    }
    HttpResponse answer = Answers.head(result);
    addFreshPermit(answer, result.code().outcome());
    Answers.send(exchange, answer, result);
  }

  /** Says "unknown" in place of "not run" where another copy or an earlier try may have run. */
  private Result provable(Result decided) {
    if (toHome) {
      return Permits.heldElsewhere(decided);
    }
    if (lostTry && decided instanceof Result.NotRun notRun) {
      return new Result.Unknown(
          ResultCode.TARGET_LOST, "an earlier try was lost, and then " + notRun.code());
    }
    return decided;
  }

  /** A permit told "not run" is used up, so the answer brings the one for a new try. */
  private void addFreshPermit(HttpResponse answer, Outcome outcome) {
    String fresh = run != null && outcome == Outcome.NOT_RUN ? run.freshPermit() : "";
    if (!fresh.isEmpty()) {
      answer.setHeader(Headers.PERMIT, fresh);
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
  boolean isOver() {
    return over.get();
  }

  /** A try was lost after it was sent, so "not run" can no longer be proven. */
  void markLostTry() {
    lostTry = true;
  }

  /** The only try so far provably did not run: while the next waits, "not run" is true again. */
  void waitAgain() {
    state.waitAgain();
  }

  boolean mayTryAgain(boolean sent) {
    return tries < MOST_TRIES
        && !over.get()
        && (!sent || exchange.entity() == null)
        && Duration.ofNanos(deadlineNanos - parts.time().nanos()).toMillis() > 0;
  }

  FlowParts parts() {
    return parts;
  }

  Contract.Service service() {
    return service;
  }

  /** The run of a permit, or null where the request needs none. */
  @Nullable PermitRun run() {
    return run;
  }

  private void stopTimer() {
    ScheduledFuture<?> running = timer;
    if (running != null) {
      running.cancel(false);
    }
  }

  private long remainingMillis() {
    return millisUntil(deadlineNanos);
  }

  private long millisUntil(long endNanos) {
    return Math.max(1, (endNanos - parts.time().nanos()) / NANOS_PER_MILLI);
  }

  void record(EventKind kind, String subject, String detail) {
    parts.events().record(kind, head.id(), head.customer(), subject, 0, detail);
  }

  /** Passes an answer on to the caller; its body follows as it comes. */
  boolean passOn(
      HttpResponse passed, @Nullable EntityDetails details, BodyPipe body, Outcome outcome) {
    if (!over.compareAndSet(false, true)) {
      if (run != null) {
        discard(body);
      }
      return false;
    }
    addFreshPermit(passed, outcome);
    answerBody = body;
    boolean begun = !callerGone && exchange.answer(passed, CarriedEntity.of(details), body);
    if (begun && !callerGone) {
      return true;
    }
    if (run != null) {
      discard(body);
      return true;
    }
    giveUp(Ending.CALLER_GONE);
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
