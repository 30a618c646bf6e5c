package org.sageladder.entry.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.quarantine.Quarantine;
import org.sageladder.core.spread.PeerMessages;
import org.sageladder.core.time.VirtualTime;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.RequestSender;

/** Distinguishing a crash from a broken connection, and reporting it to the peers. */
class CrashDetectorTest {
  private static final long CRASHING_FINGERPRINT = 666;

  private final VirtualTime time = VirtualTime.startingAt(1_000_000);
  private final List<Runnable> timers = new ArrayList<>();
  private final List<RequestSender.Listener> loadProbes = new ArrayList<>();
  private final List<PeerMessages.Receiver> receivers = new ArrayList<>();
  private final ScheduledExecutorService executor = new TaskRecorder();
  private final CrashDetector first = detector();
  private final CrashDetector second = detector();

  @AfterEach
  void stop() {
    executor.shutdownNow();
  }

  private CrashDetector detector() {
    return CrashDetector.start(
        "kannelkoda",
        Quarantine.create(Quarantine.Limits.standard()),
        (host, request, details, body, connectTimeout, listener) -> {
          loadProbes.add(listener);
          return () -> {};
        },
        executor,
        time,
        EventSink.none(),
        new Broadcast());
  }

  private static Holding target(String name) {
    return new Holding(name, "kannelkoda", "export", "127.0.0.1", 1, 4, "entry-1", 3, false);
  }

  /** Runs the scheduled probes; returns the listener that waits for the load of the target. */
  private RequestSender.Listener runTimersAndGetLastProbe() {
    List<Runnable> due = new ArrayList<>(timers);
    timers.clear();
    due.forEach(Runnable::run);
    return loadProbes.get(loadProbes.size() - 1);
  }

  /**
   * A request crashes a target of one entry VM and then one of another. Each VM saw only one crash;
   * without shared reports, both would let the request crash a second target.
   */
  @Test
  void crashesSeenByDifferentVmsQuarantineTheRequestOnBoth() {
    first.recordConnectionFailure(target("t-1"), CRASHING_FINGERPRINT);
    runTimersAndGetLastProbe().onFailure(false, new IOException("connection refused"));
    second.recordConnectionFailure(target("t-2"), CRASHING_FINGERPRINT);
    runTimersAndGetLastProbe().onFailure(false, new IOException("connection refused"));
    assertTrue(first.quarantine().isQuarantined(CRASHING_FINGERPRINT, time.wallMillis()));
    assertTrue(second.quarantine().isQuarantined(CRASHING_FINGERPRINT, time.wallMillis()));
  }

  /**
   * A network fault breaks the connection of a request twice while its targets keep running: no
   * crash.
   */
  @Test
  void brokenConnectionToRunningTargetIsNoCrash() {
    for (String name : List.of("t-1", "t-2")) {
      first.recordConnectionFailure(target(name), CRASHING_FINGERPRINT);
      String load = "{\"slots\":3,\"busy\":1,\"draining\":false,\"incarnation\":4}";
      runTimersAndGetLastProbe()
          .onResponse(
              new BasicHttpResponse(200), null, BodyPipe.of(load.getBytes(StandardCharsets.UTF_8)));
    }
    assertFalse(first.quarantine().isQuarantined(CRASHING_FINGERPRINT, time.wallMillis()));
  }

  /**
   * The target crashed and restarted before it was probed: only its incarnation reveals the crash.
   */
  @Test
  void targetWithLaterIncarnationHasCrashed() {
    for (String name : List.of("t-1", "t-2")) {
      first.recordConnectionFailure(target(name), CRASHING_FINGERPRINT);
      String load = "{\"slots\":3,\"busy\":0,\"draining\":false,\"incarnation\":5}";
      runTimersAndGetLastProbe()
          .onResponse(
              new BasicHttpResponse(200), null, BodyPipe.of(load.getBytes(StandardCharsets.UTF_8)));
    }
    assertTrue(first.quarantine().isQuarantined(CRASHING_FINGERPRINT, time.wallMillis()));
  }

  /**
   * A crash breaks three connections one by one: one probe, and one report that lists all three
   * requests.
   */
  @Test
  void requestsThatFailTogetherAreReportedTogether() {
    first.recordConnectionFailure(target("t-1"), 1);
    first.recordConnectionFailure(target("t-1"), 2);
    first.recordConnectionFailure(target("t-1"), CRASHING_FINGERPRINT);
    runTimersAndGetLastProbe().onFailure(false, new IOException("connection refused"));
    assertEquals(1, loadProbes.size());
    assertEquals(3, first.quarantine().reports().iterator().next().fingerprints().size());
  }

  /** The stale target list names one incarnation for two crashes of a target: both must count. */
  @Test
  void twoCrashesOfOneListedIncarnationCountTwice() {
    for (int i = 0; i < 2; i++) {
      first.recordConnectionFailure(target("t-1"), CRASHING_FINGERPRINT);
      runTimersAndGetLastProbe().onFailure(false, new IOException("connection refused"));
    }
    assertTrue(first.quarantine().isQuarantined(CRASHING_FINGERPRINT, time.wallMillis()));
  }

  private final class Broadcast implements PeerMessages {
    @Override
    public boolean send(String vm, String topic, byte[] content) {
      return false;
    }

    @Override
    public void broadcast(String topic, String id, byte[] content, Duration retention) {
      receivers.forEach(receiver -> receiver.receive("", content));
    }

    @Override
    public void setReceiver(String topic, Receiver receiver) {
      receivers.add(receiver);
    }
  }

  /** Records scheduled tasks until the test runs them. */
  private final class TaskRecorder extends ScheduledThreadPoolExecutor {
    TaskRecorder() {
      super(1);
    }

    @Override
    public java.util.concurrent.ScheduledFuture<?> schedule(
        Runnable task, long delay, java.util.concurrent.TimeUnit unit) {
      timers.add(task);
      return super.schedule(() -> {}, 1, java.util.concurrent.TimeUnit.DAYS);
    }
  }
}
