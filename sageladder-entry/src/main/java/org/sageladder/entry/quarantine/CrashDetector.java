package org.sageladder.entry.quarantine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.net.URIAuthority;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.quarantine.CrashReport;
import org.sageladder.core.quarantine.CrashReportCodec;
import org.sageladder.core.quarantine.Quarantine;
import org.sageladder.core.spread.PeerMessages;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.exchange.BodyCollector;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.RequestSender;

/**
 * Distinguishes a crash of a target from a broken connection, and finds the requests in flight at
 * the crash.
 *
 * <p>A crash breaks all connections to a target within milliseconds, but each failure is seen
 * separately. So the failed requests are collected for a short time, then the target is queried for
 * its load: if it refuses the connection or responds with a later incarnation, it has crashed; if
 * it responds with the same incarnation, it has not.
 *
 * <p>One lock guards the collected requests; nothing is called while it is held.
 */
public final class CrashDetector {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final JsonMapper JSON = new JsonMapper();
  private static final String CRASH_REPORT_TOPIC = "crash";
  private static final Duration BATCH_DELAY = Duration.ofMillis(30);
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
  private static final Duration REPORT_RETENTION = Duration.ofMinutes(10);
  private static final int MAX_LOAD_BYTES = 4_096;
  private static final int MAX_COUNTED_INCARNATIONS = 10_000;
  private static final long MAX_CRASHES_PER_INCARNATION = 1_000;

  private final String customer;
  private final Quarantine quarantine;
  private final RequestSender client;
  private final ScheduledExecutorService timers;
  private final TimeSource time;
  private final EventSink events;
  private final PeerMessages messages;
  private final Object lock = new Object();
  // Guarded by lock: fingerprints of the requests that failed a moment ago, by target.
  private final Map<String, Set<Long>> failedRequests = new HashMap<>();
  // Guarded by lock: number of crashes seen here, by target and its listed incarnation.
  private final Map<String, Integer> crashCounts = new HashMap<>();

  private CrashDetector(
      String customer,
      Quarantine quarantine,
      RequestSender client,
      ScheduledExecutorService timers,
      TimeSource time,
      EventSink events,
      PeerMessages messages) {
    this.customer = customer;
    this.quarantine = quarantine;
    this.client = client;
    this.timers = timers;
    this.time = time;
    this.events = events;
    this.messages = messages;
  }

  /**
   * Starts a detector that reports crashes to {@code quarantine} and, by {@code messages}, to the
   * other entry VMs.
   */
  public static CrashDetector start(
      String customer,
      Quarantine quarantine,
      RequestSender client,
      ScheduledExecutorService timers,
      TimeSource time,
      EventSink events,
      PeerMessages messages) {
    CrashDetector detector =
        new CrashDetector(customer, quarantine, client, timers, time, events, messages);
    messages.setReceiver(CRASH_REPORT_TOPIC, (from, content) -> detector.onPeerReport(content));
    return detector;
  }

  /** The quarantine that follows from the detected crashes. */
  public Quarantine quarantine() {
    return quarantine;
  }

  /** Records a request whose connection failed before its response was complete. */
  public void recordConnectionFailure(Holding holding, long fingerprint) {
    boolean isFirst;
    synchronized (lock) {
      isFirst = !failedRequests.containsKey(holding.target());
      failedRequests.computeIfAbsent(holding.target(), ignored -> new HashSet<>()).add(fingerprint);
    }
    if (isFirst) {
      ScheduledFuture<?> unused =
          timers.schedule(() -> probeLoad(holding), BATCH_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /** Records that a target has run a request to its end, so that it does not crash its targets. */
  public void recordSuccess(LongSupplier fingerprint) {
    if (quarantine.hasAccused()) {
      quarantine.recordSuccess(fingerprint.getAsLong(), time.wallMillis());
    }
  }

  private void probeLoad(Holding holding) {
    HttpHost host = new HttpHost(holding.host(), holding.port());
    BasicHttpRequest request = new BasicHttpRequest("GET", "/load");
    request.setScheme(host.getSchemeName());
    request.setAuthority(new URIAuthority(host));
    Runnable cancel =
        client.send(
            host,
            request,
            null,
            BodyPipe.of(new byte[0]),
            CONNECT_TIMEOUT,
            new LoadListener(holding));
    ScheduledFuture<?> unused =
        timers.schedule(cancel, CONNECT_TIMEOUT.toMillis() * 2, TimeUnit.MILLISECONDS);
  }

  private Set<Long> takeFailedRequests(Holding holding) {
    synchronized (lock) {
      Set<Long> collected = failedRequests.remove(holding.target());
      return collected == null ? Set.of() : collected;
    }
  }

  private void reportCrash(Holding holding) {
    Set<Long> fingerprints = takeFailedRequests(holding);
    if (fingerprints.isEmpty()) {
      return;
    }
    CrashReport report =
        new CrashReport(
            holding.target(), crashIncarnation(holding), time.wallMillis(), fingerprints);
    events.record(
        EventKind.TARGET_CRASHED,
        "",
        customer,
        holding.target(),
        holding.targetIncarnation(),
        fingerprints.size() + " requests were in flight");
    if (quarantine.add(report)) {
      String id = holding.target() + "/" + report.incarnation();
      messages.broadcast(CRASH_REPORT_TOPIC, id, CrashReportCodec.encode(report), REPORT_RETENTION);
    }
    for (long fingerprint : fingerprints) {
      if (quarantine.isQuarantined(fingerprint, time.wallMillis())) {
        events.record(
            EventKind.QUARANTINED,
            "",
            customer,
            Long.toHexString(fingerprint),
            0,
            "for " + quarantine.remainingMillis(fingerprint, time.wallMillis()) + " ms");
      }
    }
  }

  /**
   * An incarnation number that differs between two crashes of a target even while the stale target
   * list still names the first incarnation. If they counted as one crash, the request would be
   * admitted again.
   */
  private long crashIncarnation(Holding holding) {
    synchronized (lock) {
      if (crashCounts.size() > MAX_COUNTED_INCARNATIONS) {
        crashCounts.clear();
      }
      int count =
          crashCounts.merge(holding.target() + "/" + holding.targetIncarnation(), 1, Integer::sum);
      return holding.targetIncarnation() * MAX_CRASHES_PER_INCARNATION + count;
    }
  }

  private void onPeerReport(byte[] content) {
    try {
      boolean unused = quarantine.add(CrashReportCodec.decode(content));
    } catch (IOException e) {
      logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).withCause(e).log(
          "malformed crash report of a peer");
    }
  }

  private final class LoadListener implements RequestSender.Listener {
    private final Holding holding;

    LoadListener(Holding holding) {
      this.holding = holding;
    }

    @Override
    public void onResponse(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
      BodyCollector.collect(body, MAX_LOAD_BYTES, this::compareIncarnation);
    }

    private void compareIncarnation(byte[] load) {
      long incarnation = 0;
      try {
        JsonNode json = JSON.readTree(load);
        incarnation = json.path("incarnation").asLong();
      } catch (IOException e) {
        logger.atFine().withCause(e).log("malformed load report of target %s", holding.target());
      }
      if (holding.targetIncarnation() > 0 && incarnation > holding.targetIncarnation()) {
        reportCrash(holding);
      } else {
        Set<Long> dropped = takeFailedRequests(holding);
        logger.atFine().log(
            "target %s has not crashed; %d requests to it failed",
            holding.target(), dropped.size());
      }
    }

    @Override
    public void onComplete() {}

    @Override
    public void onFailure(boolean isSent, Exception cause) {
      reportCrash(holding);
    }
  }
}
