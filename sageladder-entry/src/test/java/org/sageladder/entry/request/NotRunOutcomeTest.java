package org.sageladder.entry.request;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.RequestClass;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.limits.Admission;
import org.sageladder.core.limits.Gate;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.permit.RecordedAnswer;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.exchange.CallerExchange;
import org.sageladder.entry.exchange.ForwardedEntity;
import org.sageladder.entry.exchange.RequestSender;

/** A request that is reported as not run must never reach a target. */
class NotRunOutcomeTest {
  private static final Duration LONG = Duration.ofSeconds(20);

  // The caller disconnects at the moment at which the gate admits its request. The flow recorded
  // not-run for the permit although the target got the request, and the repeat of the permit was
  // answered as not-run, so the caller sent a second request. The check for the end of the flow and
  // the dispatch were not one atomic step.
  @Test
  void disconnectDuringAdmissionIsNotRecordedAsNotRunOnceRequestWasSent() throws Exception {
    ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    AtomicReference<@Nullable CallerExchange> exchange = new AtomicReference<>();
    EventSink disconnectAtDispatch =
        (kind, request, contract, subject, revision, detail) -> {
          CallerExchange caller = exchange.get();
          if (kind == EventKind.DISPATCHED && caller != null) {
            caller.failed(new IOException("the caller's connection broke"));
          }
        };
    AtomicBoolean sent = new AtomicBoolean();
    RequestSender target =
        (host, request, details, body, connectTimeout, listener) -> {
          sent.set(true);
          return () -> {};
        };
    FlowContext context =
        new FlowContext(
            "entry-1",
            "kalnins-dauge",
            target,
            timers,
            TimeSource.system(),
            disconnectAtDispatch,
            RequestCounters.in(new SimpleMeterRegistry()),
            Duration.ofSeconds(1),
            EmptyCrashDetector.create(timers));
    RecordingRun run = new RecordingRun();
    CallerExchange caller =
        CallerExchange.create(
            started ->
                RequestFlow.startPermitted(context, started, head(), bidService(), run)
                    .admitThrough(admittingGate()));
    exchange.set(caller);
    // The body is incomplete, so the flow must not continue without its caller.
    caller.handleRequest(
        new BasicHttpRequest("POST", "/v1/request/kalnins-dauge/bid/x"),
        new ForwardedEntity(100, "text/plain", null),
        new RecordingResponseChannel(),
        HttpCoreContext.create());
    timers.shutdownNow();
    assertFalse(run.notRun.get() && sent.get(), "reported as not run but sent to the target");
    assertTrue(run.notRun.get() || run.unknown.get(), "no outcome was recorded for the permit");
  }

  private static RequestHead head() {
    return new RequestHead("r-1", "kalnins-dauge", "bid", "/x", LONG, LONG, "", "", "", "");
  }

  private static Contract.Service bidService() {
    Contract.ShiftCap cap = new Contract.ShiftCap(1, Duration.ofSeconds(1));
    return new Contract.Service(
        "bid", RequestClass.CRITICAL, false, 1, 3, 10, 20, 5, LONG, LONG, LONG, 0, cap, cap);
  }

  private static Gate admittingGate() {
    Holding holding =
        new Holding("t-1", "kalnins-dauge", "bid", "127.0.0.1", 1, 1, "entry-1", 3, false);
    Admission.Slot slot =
        new Admission.Slot() {
          @Override
          public Holding target() {
            return holding;
          }

          @Override
          public void release(Admission.Completion completion) {}
        };
    return (request, whenDecided) -> {
      whenDecided.accept(new Admission.Admitted(slot));
      return () -> false;
    };
  }

  private static final class RecordingRun implements PermitRun {
    final AtomicBoolean notRun = new AtomicBoolean();
    final AtomicBoolean unknown = new AtomicBoolean();

    @Override
    public void recordRan(RecordedAnswer answer) {}

    @Override
    public void recordNotRun() {
      notRun.set(true);
    }

    @Override
    public void recordUnknown() {
      unknown.set(true);
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
}
