package org.sageladder.entry.request;

import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.AdmissionRequest;
import org.sageladder.core.limits.Gate;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.result.Outcome;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.CallerExchange;
import org.sageladder.entry.exchange.CarriedEntity;
import org.sageladder.entry.exchange.OutboundClient;

/**
 * One request on its way: gate, target, answer, or on to the entry VM that holds a gate.
 *
 * <p>{@code over} is set by whoever ends the flow: answer, refusal, deadline or the caller's going.
 * All later news of abandoned tries is dropped by it, so the caller gets exactly one answer.
 */
final class RequestFlow {
  private static final int MOST_TRIES = 3;

  /** Ends a flow before it has its answer. */
  private enum Ending {
    DEADLINE,
    CALLER_GONE
  }

  private final FlowParts parts;
  private final CallerExchange exchange;
  private final RequestHead head;
  private final Contract.Service service;
  private final long deadlineNanos;
  private final AtomicBoolean over = new AtomicBoolean();
  private final Object lock = new Object();
  private Runnable cancelStep = () -> {};
  private boolean ended;
  private int tries;
  private final AtomicBoolean told = new AtomicBoolean();
  private volatile Consumer<Outcome> outcomeListener = outcome -> {};
  private volatile boolean dispatched;
  private @Nullable ScheduledFuture<?> timer;

  private RequestFlow(
      FlowParts parts, CallerExchange exchange, RequestHead head, Contract.Service service) {
    this.parts = parts;
    this.exchange = exchange;
    this.head = head;
    this.service = service;
    this.deadlineNanos = parts.time().nanos() + head.deadline().toNanos();
  }

  /** Starts a flow with its deadline running. */
  static RequestFlow begin(
      FlowParts parts, CallerExchange exchange, RequestHead head, Contract.Service service) {
    RequestFlow flow = new RequestFlow(parts, exchange, head, service);
    flow.timer =
        parts
            .timers()
            .schedule(
                () -> flow.giveUp(Ending.DEADLINE),
                head.deadline().toNanos(),
                TimeUnit.NANOSECONDS);
    exchange.onGone(() -> flow.giveUp(Ending.CALLER_GONE));
    return flow;
  }

  /** Asks {@code gate} for a slot and sends the request to its target. */
  void through(Gate gate) {
    admit(gate, "");
  }

  /** Passes the request on to the entry VM that holds a gate. */
  void forwardTo(Member member) {
    record(EventKind.FORWARDED, member.vm(), "no target of " + service.name() + " is held here");
    BasicHttpRequest request =
        new BasicHttpRequest(exchange.request().getMethod(), exchange.request().getPath());
    PassedHeaders.copy(exchange.request(), request, true);
    request.setHeader(Headers.REQUEST_ID, head.id());
    request.setHeader(Headers.DEADLINE, remainingMillis());
    request.setHeader(Headers.FORWARDED_BY, parts.vm());
    send(new HttpHost(member.host(), member.port()), request, new PeerLeg(member));
  }

  private void admit(Gate gate, String avoid) {
    tries++;
    Gate.Cancellable wait =
        gate.request(
            new AdmissionRequest(head.id(), deadlineNanos, avoid, ""),
            admission -> decided(gate, admission));
    step(wait::cancel);
  }

  private void decided(Gate gate, Admission admission) {
    if (admission instanceof Admission.Refused refused) {
      refuse(refused.result());
      return;
    }
    Admission.Slot slot = ((Admission.Admitted) admission).slot();
    synchronized (lock) {
      if (!ended) {
        cancelStep = () -> {};
      }
    }
    if (over.get()) {
      slot.release(Admission.Completion.UNUSED);
      return;
    }
    Holding target = slot.target();
    record(EventKind.DISPATCHED, target.target(), "try " + tries);
    BasicHttpRequest request = new BasicHttpRequest(exchange.request().getMethod(), head.path());
    PassedHeaders.copy(exchange.request(), request, false);
    request.setHeader(Headers.TARGET_REQUEST_ID, head.id());
    request.setHeader(Headers.TARGET_DEADLINE, remainingMillis());
    send(new HttpHost(target.host(), target.port()), request, new TargetLeg(gate, slot));
  }

  private void send(HttpHost host, BasicHttpRequest request, Leg leg) {
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
    dispatched = true;
    step(cancel);
    try {
      exchange.acceptBody();
    } catch (java.io.IOException e) {
      giveUp(Ending.CALLER_GONE);
    }
  }

  /** Names what ends the present step; runs it at once where the flow has already ended. */
  private void step(Runnable cancel) {
    boolean now;
    synchronized (lock) {
      now = ended;
      if (!now) {
        cancelStep = cancel;
      }
    }
    if (now) {
      cancel.run();
    }
  }

  private void giveUp(Ending ending) {
    boolean first = over.compareAndSet(false, true);
    Runnable cancel;
    synchronized (lock) {
      if (ended) {
        return;
      }
      ended = true;
      cancel = cancelStep;
    }
    cancel.run();
    stopTimer();
    if (!first || ending == Ending.CALLER_GONE) {
      tell(first && !dispatched ? Outcome.NOT_RUN : Outcome.UNKNOWN);
      record(EventKind.CANCELLED, "", ending.name());
      return;
    }
    if (dispatched) {
      answer(new Result.Unknown(ResultCode.TARGET_TIMEOUT, "no answer by the deadline"));
    } else {
      answer(
          Result.notRun(ResultCode.QUEUE_DEADLINE, "the deadline passed before a slot was free"));
    }
  }

  /** Names who is told, once, what became of the request; set before the flow is carried on. */
  void whenKnown(Consumer<Outcome> listener) {
    outcomeListener = listener;
  }

  private void tell(Outcome outcome) {
    if (told.compareAndSet(false, true)) {
      outcomeListener.accept(outcome);
    }
  }

  /** Ends the flow with a refusal. */
  void refuse(Result.NotRun result) {
    if (over.compareAndSet(false, true)) {
      finish();
      answer(result);
    }
  }

  private void unknown(ResultCode code, String detail) {
    if (over.compareAndSet(false, true)) {
      finish();
      answer(new Result.Unknown(code, detail));
    }
  }

  private void answer(Result result) {
    record(
        result instanceof Result.NotRun ? EventKind.REFUSED : EventKind.FAILED,
        "",
        result.code().name());
    tell(result.code().outcome());
    parts.counters().result(service.name(), result.code());
    try {
      exchange.requestBody().discard();
    } catch (java.io.IOException ignored) {
      // The caller's connection is gone; sending the answer finds the same.
    }
    Answers.send(exchange, result);
  }

  private void finish() {
    synchronized (lock) {
      ended = true;
    }
    stopTimer();
  }

  private void stopTimer() {
    ScheduledFuture<?> running = timer;
    if (running != null) {
      running.cancel(false);
    }
  }

  private long remainingMillis() {
    return Math.max(1, (deadlineNanos - parts.time().nanos()) / 1_000_000);
  }

  private void record(EventKind kind, String subject, String detail) {
    parts.events().record(kind, head.id(), head.customer(), subject, 0, detail);
  }

  /** Passes an answer on to the caller; its body follows as it comes. */
  private boolean passOn(
      HttpResponse response, @Nullable EntityDetails details, BodyPipe body, boolean fromPeer) {
    if (!over.compareAndSet(false, true)) {
      return false;
    }
    BasicHttpResponse passed = new BasicHttpResponse(response.getCode());
    PassedHeaders.copy(response, passed, fromPeer);
    if (!fromPeer) {
      Answers.mark(passed, ResultCode.OK);
    }
    if (exchange.answer(passed, CarriedEntity.of(details), body)) {
      return true;
    }
    giveUp(Ending.CALLER_GONE);
    return false;
  }

  /** One try: what is done with the news of one exchange. */
  private abstract class Leg implements OutboundClient.Listener {
    private volatile boolean retried;

    void retry(Runnable again) {
      retried = true;
      again.run();
    }

    boolean isCurrent() {
      return !retried;
    }

    boolean mayTryAgain(boolean sent) {
      return tries < MOST_TRIES
          && !over.get()
          && (!sent || exchange.entity() == null)
          && Duration.ofNanos(deadlineNanos - parts.time().nanos()).toMillis() > 0;
    }
  }

  /** A try at a target whose slot is held. */
  private final class TargetLeg extends Leg {
    private final Gate gate;
    private final Admission.Slot slot;

    TargetLeg(Gate gate, Admission.Slot slot) {
      this.gate = gate;
      this.slot = slot;
    }

    @Override
    public void head(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
      var refusal = response.getFirstHeader(Headers.TARGET_REFUSED);
      if (response.getCode() == 503 && refusal != null) {
        boolean leaving = "draining".equals(refusal.getValue());
        slot.release(leaving ? Admission.Completion.LEAVING : Admission.Completion.REFUSED);
        refusedByTarget("target refused: " + refusal.getValue(), true);
        discard(body);
        return;
      }
      response.setHeader(Headers.TARGET, slot.target().target());
      if (passOn(response, details, body, false)) {
        record(EventKind.ANSWERED, slot.target().target(), "status " + response.getCode());
        parts.counters().result(service.name(), ResultCode.OK);
      }
    }

    @Override
    public void done() {
      slot.release(Admission.Completion.ANSWERED);
      if (isCurrent()) {
        tell(Outcome.RAN);
        finish();
      }
    }

    @Override
    public void lost(boolean sent, Exception cause) {
      slot.release(sent ? Admission.Completion.LOST : Admission.Completion.REFUSED);
      if (!isCurrent() || over.get()) {
        return;
      }
      if (!sent) {
        refusedByTarget("cannot connect to the target: " + cause, false);
        return;
      }
      record(EventKind.FAILED, slot.target().target(), String.valueOf(cause));
      if (service.repeatable() && mayTryAgain(true)) {
        retry(() -> admit(gate, slot.target().target()));
        return;
      }
      unknown(ResultCode.TARGET_LOST, "the connection to the target failed: " + cause);
    }

    private void refusedByTarget(String why, boolean sent) {
      record(EventKind.RETRIED, slot.target().target(), why);
      if (mayTryAgain(sent)) {
        retry(() -> admit(gate, slot.target().target()));
      } else {
        refuse(new Result.NotRun(ResultCode.TARGET_REFUSED, Duration.ofMillis(200), why));
      }
    }
  }

  /** A try through the entry VM that holds a gate. */
  private final class PeerLeg extends Leg {
    private final Member member;
    private volatile Outcome outcome = Outcome.UNKNOWN;

    PeerLeg(Member member) {
      this.member = member;
    }

    @Override
    public void head(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
      var said = response.getFirstHeader(Headers.OUTCOME);
      if (said != null) {
        outcome = Answers.outcome(said.getValue());
      }
      passOn(response, details, body, true);
    }

    @Override
    public void done() {
      tell(outcome);
      finish();
    }

    @Override
    public void lost(boolean sent, Exception cause) {
      if (over.get()) {
        return;
      }
      if (!sent) {
        refuse(
            new Result.NotRun(
                ResultCode.GATE_MOVED,
                Duration.ofMillis(500),
                "cannot connect to entry VM " + member.vm()));
        return;
      }
      unknown(ResultCode.GATE_LOST, "entry VM " + member.vm() + " was lost: " + cause);
    }
  }

  private static void discard(BodyPipe body) {
    try {
      body.discard();
    } catch (java.io.IOException ignored) {
      // The refused exchange's connection is gone, and so is its body.
    }
  }
}
