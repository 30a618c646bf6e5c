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

/** What one flow tells its caller, its target and the home of its permit. */
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
   * A collector closes the page while a lot list is being made. The target goes on working for
   * nobody, since the gate had let the request through at once and its wait, not the exchange, was
   * noted as what to end.
   */
  @Test
  void disconnectCancelsExchangeThatWasAdmittedAtOnce() throws IOException {
    CallerExchange caller =
        receiveRequest(
            begun ->
                RequestFlow.start(context(), begun, head(), service(true))
                    .admitThrough(admittingGate()));
    caller.failed(new IOException("the collector closed the page"));
    assertEquals(List.of(0), cancelled);
  }

  /**
   * A search is lost with a target's connection, tried again, and refused there. "Not run" would be
   * false: the first target may have run it.
   */
  @Test
  void refusalAfterLostAttemptIsReportedAsUnknown() throws IOException {
    receiveRequest(
        begun ->
            RequestFlow.start(context(), begun, head(), service(true))
                .admitThrough(admittingGate()));
    listeners.get(0).onFailure(true, new IOException("reset"));
    for (int i = 1; i < listeners.size(); i++) {
      BasicHttpResponse refusal = new BasicHttpResponse(503);
      refusal.setHeader(Headers.TARGET_REFUSED, "shedding");
      listeners.get(i).onResponse(refusal, null, BodyPipe.of(new byte[0]));
    }
    assertTrue(listeners.size() > 1, "no second try");
    assertEquals("unknown", outcome());
  }

  /**
   * A dealer's bid timed out and is sent again through another entry VM, which cannot reach the
   * permit's home. The first copy may be running there, so "not run" could be false.
   */
  @Test
  void unreachableIssuerIsReportedAsUnknown() throws IOException {
    Member home = new Member("entry-2", "riga-1", 1, "127.0.0.1", 1, 2, false);
    receiveRequest(
        begun -> RequestFlow.start(context(), begun, head(), service(false)).forwardToIssuer(home));
    listeners.get(0).onFailure(false, new IOException("connection refused"));
    assertEquals("unknown", outcome());
  }

  /**
   * The same where the entry VM itself refuses: it is not the home, and its word covers one copy.
   */
  @Test
  void onlyIssuerReportsNotRunOfRequestWithPermit() {
    Result refusal = Result.notRun(ResultCode.NO_CONTRACT_IN_FORCE, "just started");
    assertEquals(ResultCode.HOME_LOST, PermitEnforcer.unknownUnlessIssuer(refusal).code());
  }

  /**
   * A dealer's line drops while the bid runs. Cancelling it would leave the outcome unknown for
   * good; it goes on, and the repeat of the permit gets the answer that came.
   */
  @Test
  void permittedRunContinuesWithoutCallerAndRecordsResponse() throws IOException {
    CallerExchange caller =
        receiveRequest(
            begun ->
                RequestFlow.startPermitted(
                        context(), begun, head(), service(false), new RecordingRun())
                    .admitThrough(admittingGate()));
    caller.failed(new IOException("the dealer's line dropped"));
    BodyPipe body = BodyPipe.of(new byte[0]);
    listeners.get(0).onResponse(new BasicHttpResponse(201), null, body);
    listeners.get(0).onComplete();
    assertEquals(List.of(), cancelled);
    assertEquals(List.of("ran 201"), recordedOutcomes);
  }

  /**
   * A target dies in the middle of its answer to a bid. It had run the bid: the permit must say so,
   * without pretending to have the answer.
   */
  @Test
  void truncatedResponseProvesRunButIsNotKept() throws IOException {
    receiveRequest(
        begun ->
            RequestFlow.startPermitted(context(), begun, head(), service(false), new RecordingRun())
                .admitThrough(admittingGate()));
    BodyPipe body = BodyPipe.open();
    listeners.get(0).onResponse(new BasicHttpResponse(200), null, body);
    listeners.get(0).onFailure(true, new IOException("reset"));
    assertEquals(List.of("ran, answer not kept"), recordedOutcomes);
  }

  /**
   * Under a cap the oldest export gets the next slot, and its caller leaves a moment later: the
   * export is cut half done, its share of the cap is spent, and hardly any export comes through
   * although most slots are free. A slot is worth waiting for only while there is time for the
   * work.
   */
  @Test
  void slotWaitEndsWhileThereIsTimeForTheRun() throws IOException {
    List<Long> until = new ArrayList<>();
    Gate noting =
        (request, whenDecided) -> {
          until.add(request.deadlineNanos());
          return () -> false;
        };
    long before = System.nanoTime();
    receiveRequest(
        begun -> RequestFlow.start(context(), begun, head(), service(true)).admitThrough(noting));
    long after = System.nanoTime();
    long wait = LONG.minusMillis(2 * MEAN_SERVICE_MILLIS).toNanos();
    assertTrue(until.get(0) - before >= wait, "gives up earlier than it must");
    assertTrue(until.get(0) - after <= wait, "waits until there is no time for the work");
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
