package org.sageladder.entry.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.RequestClass;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.Gate;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.permit.RecordedAnswer;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.CallerExchange;
import org.sageladder.entry.exchange.RequestSender;

/** What a flow reports to its caller, its target and the issuer of its permit. */
class RequestFlowTest {
  private static final Duration LONG = Duration.ofSeconds(20);
  private static final int MEAN_SERVICE_MILLIS = 20;

  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
  private final List<RequestSender.Listener> listeners = new ArrayList<>();
  private final List<Integer> cancelled = new ArrayList<>();
  private final RecordingResponseChannel responses = new RecordingResponseChannel();
  private final List<String> recordedOutcomes = new ArrayList<>();

  @AfterEach
  void stopTimers() {
    timers.shutdownNow();
  }

  private FlowContext context() {
    RequestSender outbound =
        (host, request, details, body, connectTimeout, listener) -> {
          int number = listeners.size();
          listeners.add(listener);
          return () -> cancelled.add(number);
        };
    return new FlowContext(
        "entry-1",
        "kalnins-dauge",
        outbound,
        timers,
        TimeSource.system(),
        EventSink.none(),
        RequestCounters.in(new SimpleMeterRegistry()),
        Duration.ofSeconds(1),
        EmptyCrashDetector.create(timers));
  }

  private CallerExchange receiveRequest(CallerExchange.Handler handler) throws IOException {
    CallerExchange caller = CallerExchange.create(handler);
    caller.handleRequest(
        new BasicHttpRequest("GET", "/v1/request/kalnins-dauge/lots/x"),
        null,
        responses,
        HttpCoreContext.create());
    return caller;
  }

  private static RequestHead head() {
    return new RequestHead("r-1", "kalnins-dauge", "lots", "/x", LONG, LONG, "", "", "", "");
  }

  private static Contract.Service service(boolean repeatable) {
    Contract.ShiftCap cap = new Contract.ShiftCap(1, Duration.ofSeconds(1));
    return new Contract.Service(
        "lots",
        RequestClass.INTERACTIVE,
        repeatable,
        1,
        3,
        10,
        MEAN_SERVICE_MILLIS,
        5,
        LONG,
        LONG,
        LONG,
        0.1,
        cap,
        cap);
  }

  private static Gate admittingGate() {
    return (request, whenDecided) -> {
      whenDecided.accept(new Admission.Admitted(new FreeSlot()));
      return () -> false;
    };
  }

  private String outcome() {
    return responses.headers(Headers.OUTCOME).get(0);
  }

  /**
   * A caller disconnects while the target runs a request that the gate admitted at once. The target
   * kept running it for no caller, because the wait for the slot was recorded as the step to cancel
   * instead of the exchange.
   */
  @Test
  void disconnectCancelsExchangeThatWasAdmittedAtOnce() throws IOException {
    CallerExchange caller =
        receiveRequest(
            exchange ->
                RequestFlow.start(context(), exchange, head(), service(true))
                    .admitThrough(admittingGate()));
    caller.failed(new IOException("the caller disconnected"));
    assertEquals(List.of(0), cancelled);
  }

  /**
   * A request is lost with the connection to its target, retried and refused. Not-run would be
   * wrong: the first target may have run it.
   */
  @Test
  void refusalAfterLostAttemptIsReportedAsUnknown() throws IOException {
    receiveRequest(
        exchange ->
            RequestFlow.start(context(), exchange, head(), service(true))
                .admitThrough(admittingGate()));
    listeners.get(0).onFailure(true, new IOException("reset"));
    for (int i = 1; i < listeners.size(); i++) {
      BasicHttpResponse refusal = new BasicHttpResponse(503);
      refusal.setHeader(Headers.TARGET_REFUSED, "shedding");
      listeners.get(i).onResponse(refusal, null, BodyPipe.of(new byte[0]));
    }
    assertTrue(listeners.size() > 1, "no second attempt");
    assertEquals("unknown", outcome());
  }

  /**
   * A request timed out and is sent again through another entry VM, which cannot reach the issuer
   * of the permit. The first copy may run there, so not-run could be wrong.
   */
  @Test
  void unreachableIssuerIsReportedAsUnknown() throws IOException {
    Member issuer = new Member("entry-2", "riga-1", 1, "127.0.0.1", 1, 2, false);
    receiveRequest(
        exchange ->
            RequestFlow.start(context(), exchange, head(), service(false)).forwardToIssuer(issuer));
    listeners.get(0).onFailure(false, new IOException("connection refused"));
    assertEquals("unknown", outcome());
  }

  /**
   * An entry VM that is not the issuer refuses the request itself: it has the outcome of one copy
   * only.
   */
  @Test
  void onlyIssuerReportsNotRunOfRequestWithPermit() {
    Result refusal = Result.notRun(ResultCode.NO_CONTRACT_IN_FORCE, "just started");
    assertEquals(ResultCode.HOME_LOST, PermitEnforcer.unknownUnlessIssuer(refusal).code());
  }

  /**
   * A caller disconnects while its permitted request runs. Cancelling the run would leave the
   * outcome unknown for good; instead it continues, and a repeat with the permit gets the recorded
   * response.
   */
  @Test
  void permittedRunContinuesWithoutCallerAndRecordsResponse() throws IOException {
    CallerExchange caller =
        receiveRequest(
            exchange ->
                RequestFlow.startPermitted(
                        context(), exchange, head(), service(false), new RecordingRun())
                    .admitThrough(admittingGate()));
    caller.failed(new IOException("the caller disconnected"));
    BodyPipe body = BodyPipe.of(new byte[0]);
    listeners.get(0).onResponse(new BasicHttpResponse(201), null, body);
    listeners.get(0).onComplete();
    assertEquals(List.of(), cancelled);
    assertEquals(List.of("ran 201"), recordedOutcomes);
  }

  /**
   * A target fails in the middle of its response to a permitted request. The target has run the
   * request, so the permit must record the run, without a response to replay.
   */
  @Test
  void truncatedResponseProvesRunButIsNotKept() throws IOException {
    receiveRequest(
        exchange ->
            RequestFlow.startPermitted(
                    context(), exchange, head(), service(false), new RecordingRun())
                .admitThrough(admittingGate()));
    BodyPipe body = BodyPipe.open();
    listeners.get(0).onResponse(new BasicHttpResponse(200), null, body);
    listeners.get(0).onFailure(true, new IOException("reset"));
    assertEquals(List.of("ran, answer not kept"), recordedOutcomes);
  }

  /**
   * Under a cap the oldest request gets the next slot, and its caller leaves a moment later: the
   * run is aborted, its share of the cap is spent, and hardly any request completes although most
   * slots are free. So a request waits for a slot only while enough time is left to run it.
   */
  @Test
  void slotWaitEndsWhileThereIsTimeForTheRun() throws IOException {
    List<Long> slotDeadlines = new ArrayList<>();
    Gate recordingGate =
        (request, whenDecided) -> {
          slotDeadlines.add(request.deadlineNanos());
          return () -> false;
        };
    long before = System.nanoTime();
    receiveRequest(
        exchange ->
            RequestFlow.start(context(), exchange, head(), service(true))
                .admitThrough(recordingGate));
    long after = System.nanoTime();
    long expectedWaitNanos = LONG.minusMillis(2 * MEAN_SERVICE_MILLIS).toNanos();
    assertTrue(
        slotDeadlines.get(0) - before >= expectedWaitNanos, "the wait ends earlier than necessary");
    assertTrue(
        slotDeadlines.get(0) - after <= expectedWaitNanos,
        "the wait leaves too little time to run the request");
  }

  private final class RecordingRun implements PermitRun {
    @Override
    public void recordRan(RecordedAnswer answer) {
      recordedOutcomes.add(answer.isKept() ? "ran " + answer.status() : "ran, answer not kept");
    }

    @Override
    public void recordNotRun() {
      recordedOutcomes.add("not run");
    }

    @Override
    public void recordUnknown() {
      recordedOutcomes.add("unknown");
    }

    @Override
    public String mintNewPermit() {
      return "";
    }

    @Override
    public String dispatchToken() {
      return "";
    }
  }

  private static final class FreeSlot implements Admission.Slot {
    @Override
    public Holding target() {
      return new Holding("t-1", "kalnins-dauge", "lots", "127.0.0.1", 1, 1, "entry-1", 3, false);
    }

    @Override
    public void release(Admission.Completion completion) {}
  }
}
