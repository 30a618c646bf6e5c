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
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.net.URIAuthority;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.AdmissionRequest;
import org.sageladder.core.limits.Gate;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.permit.RecordedAnswer;
import org.sageladder.core.quarantine.Quarantine;
import org.sageladder.core.result.Outcome;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.entry.exchange.AnswerRecorder;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.CallerExchange;
import org.sageladder.entry.exchange.CarriedEntity;
import org.sageladder.entry.exchange.Outbound;

/**
 * One request on its way: gate, target, answer, or on to the entry VM that holds a gate.
 *
 * <p>{@code over} is set by whoever ends the flow: answer, refusal, deadline or the caller's going.
 * All later news of abandoned tries is dropped by it, so the caller gets exactly one answer.
 */
final class RequestFlow {
  private static final int MOST_TRIES = 3;
  private static final int LARGEST_RECORDED = 1 << 16;
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
  private final Object lock = new Object();
  private Runnable cancelStep = () -> {};
  private boolean ended;
  private int tries;
  private volatile boolean dispatched;
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
    passTo(member, new PeerLeg(member, false));
  }

  /** Passes the request on to the entry VM that decides on its permit. */
  void forwardToHome(Member member) {
    record(EventKind.FORWARDED, member.vm(), "it is the home of the permit");
    toHome = true;
    passTo(member, new PeerLeg(member, true));
  }

  private void passTo(Member member, PeerLeg leg) {
    if (!beginDispatch()) {
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

  private void admit(Gate gate, String avoid) {
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
  private long fingerprint() {
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
    waitFor(wait);
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
    if (!beginDispatch()) {
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

  /**
   * Decides, once and for all, that the request is sent; false where the flow has ended.
   *
   * <p>A deadline or a broken connection in this very instant must not see a request as waiting
   * that is being sent: the caller would be told "not run" of a request that runs. So the decision
   * to send and the decision to end are taken under one lock, and the later one knows of the
   * earlier.
   */
  private boolean beginDispatch() {
    synchronized (lock) {
      if (ended) {
        return false;
      }
      dispatched = true;
      cancelStep = () -> {};
      return true;
    }
  }

  /**
   * The only try so far provably did not run: while the next one waits, "not run" is true again.
   */
  private void waitAgain() {
    synchronized (lock) {
      dispatched = false;
    }
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
    step(cancel);
    try {
      exchange.acceptBody();
    } catch (java.io.IOException e) {
      giveUp(Ending.CALLER_GONE);
    }
  }

  /** Names the wait as what a going caller ends, unless the gate has let the request through. */
  private void waitFor(Gate.Cancellable wait) {
    boolean now;
    synchronized (lock) {
      if (dispatched) {
        return;
      }
      now = ended;
      if (!now) {
        cancelStep = wait::cancel;
      }
    }
    if (now) {
      boolean unused = wait.cancel();
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
    if (run != null && exchange.requestBody().isWhole()) {
      if (ending == Ending.CALLER_GONE) {
        goOnAlone();
        return;
      }
      if (dispatched) {
        listenOn();
        return;
      }
    }
    boolean first = over.compareAndSet(false, true);
    Runnable cancel;
    boolean sent;
    synchronized (lock) {
      if (ended) {
        return;
      }
      ended = true;
      sent = dispatched;
      cancel = cancelStep;
    }
    cancel.run();
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
    synchronized (lock) {
      if (ended) {
        return;
      }
      timer = later(this::stopListening, LATE_ANSWERS);
    }
    if (over.compareAndSet(false, true)) {
      answer(new Result.Unknown(ResultCode.TARGET_TIMEOUT, "no answer by the deadline"));
    }
  }

  private void stopListening() {
    Runnable cancel;
    synchronized (lock) {
      if (ended) {
        return;
      }
      ended = true;
      cancel = cancelStep;
    }
    endRun(false);
    cancel.run();
  }

  private void endRun(boolean notRun) {
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

  private void unknown(ResultCode code, String detail) {
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
    if (run == null || !dispatched) {
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

  private void finish() {
    synchronized (lock) {
      ended = true;
    }
    stopTimer();
  }

  private boolean isEnded() {
    synchronized (lock) {
      return ended;
    }
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

  private void record(EventKind kind, String subject, String detail) {
    parts.events().record(kind, head.id(), head.customer(), subject, 0, detail);
  }

  /** Passes an answer on to the caller; its body follows as it comes. */
  private boolean passOn(
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

  /** One try: what is done with the news of one exchange. */
  private abstract class Leg implements Outbound.Listener {
    private final AnswerRecorder recorder = AnswerRecorder.upTo(LARGEST_RECORDED);
    private volatile boolean retried;
    private volatile @Nullable Recording recording;

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

    /** Keeps a copy of an answer that proves a run, for repeats of its permit. */
    void recordRun(HttpResponse passed, @Nullable EntityDetails details, BodyPipe body) {
      if (run != null) {
        recording = Recording.begin(passed, details);
        body.record(recorder);
      }
    }

    /** Ends the permit's run if an answer had begun: cut or whole, it proves that a target ran. */
    boolean endProvenRun(boolean whole) {
      Recording begun = recording;
      if (run == null || begun == null) {
        return false;
      }
      run.ran(whole ? begun.end(recorder.body()) : RecordedAnswer.notKept());
      return true;
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
      BasicHttpResponse passed = new BasicHttpResponse(response.getCode());
      PassedHeaders.copy(response, passed, false);
      passed.setHeader(Headers.TARGET, slot.target().target());
      Answers.mark(passed, ResultCode.OK);
      recordRun(passed, details, body);
      if (passOn(passed, details, body, Outcome.RAN)) {
        record(EventKind.ANSWERED, slot.target().target(), "status " + response.getCode());
        parts.counters().result(service.name(), ResultCode.OK);
      }
    }

    @Override
    public void done() {
      slot.release(Admission.Completion.ANSWERED);
      if (isCurrent()) {
        endProvenRun(true);
        finish();
      }
    }

    @Override
    public void lost(boolean sent, Exception cause) {
      slot.release(sent ? Admission.Completion.LOST : Admission.Completion.REFUSED);
      if (sent && !isEnded()) {
        parts.crashes().cut(slot.target(), fingerprint());
      }
      if (!isCurrent()) {
        return;
      }
      if (over.get()) {
        endProvenRun(false);
        finish();
        return;
      }
      if (!sent) {
        refusedByTarget("cannot connect to the target: " + cause, false);
        return;
      }
      record(EventKind.FAILED, slot.target().target(), String.valueOf(cause));
      lostTry = true;
      if (service.repeatable() && mayTryAgain(true) && gate.takeRetry()) {
        waitAgain();
        retry(() -> admit(gate, slot.target().target()));
        return;
      }
      unknown(ResultCode.TARGET_LOST, "the connection to the target failed: " + cause);
    }

    private void refusedByTarget(String why, boolean sent) {
      record(EventKind.RETRIED, slot.target().target(), why);
      if (mayTryAgain(sent) && gate.takeRetry()) {
        waitAgain();
        retry(() -> admit(gate, slot.target().target()));
      } else {
        refuse(new Result.NotRun(ResultCode.TARGET_REFUSED, Duration.ofMillis(200), why));
      }
    }
  }

  /** A try through another entry VM: the holder of a gate, or the home of the permit. */
  private final class PeerLeg extends Leg {
    private final Member member;
    private final boolean toHome;

    PeerLeg(Member member, boolean toHome) {
      this.member = member;
      this.toHome = toHome;
    }

    @Override
    public void head(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
      var said = response.getFirstHeader(Headers.OUTCOME);
      Outcome outcome = said == null ? Outcome.UNKNOWN : Answers.outcome(said.getValue());
      BasicHttpResponse passed = new BasicHttpResponse(response.getCode());
      PassedHeaders.copy(response, passed, true);
      if (outcome == Outcome.RAN) {
        recordRun(passed, details, body);
      } else {
        endRun(outcome == Outcome.NOT_RUN);
      }
      if (passOn(passed, details, body, outcome)) {
        record(EventKind.ANSWERED, member.vm(), "status " + response.getCode());
      }
    }

    @Override
    public void done() {
      endProvenRun(true);
      finish();
    }

    @Override
    public void lost(boolean sent, Exception cause) {
      if (over.get()) {
        endProvenRun(false);
        finish();
        return;
      }
      if (toHome) {
        // Another copy may have reached the home: "not run" could be said by the home alone.
        unknown(
            ResultCode.HOME_LOST,
            "entry VM " + member.vm() + ", home of the permit, cannot be reached: " + cause);
      } else if (sent) {
        unknown(ResultCode.GATE_LOST, "entry VM " + member.vm() + " was lost: " + cause);
      } else {
        refuse(
            new Result.NotRun(
                ResultCode.GATE_MOVED,
                Duration.ofMillis(500),
                "cannot connect to entry VM " + member.vm()));
      }
    }
  }

  private static void discard(BodyPipe body) {
    try {
      body.discard();
    } catch (java.io.IOException ignored) {
      // The connection that the body came on is gone, and so is the rest of the body.
    }
  }
}
