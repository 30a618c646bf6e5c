package org.sageladder.entry.gates;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.net.URIAuthority;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.limits.ServiceGate;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.time.TimeSource;
import org.sageladder.entry.exchange.BodyCollector;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.RequestSender;

/**
 * Polls each held target periodically for its load and reports it to the gate.
 *
 * <p>A report is stale by at least the time it takes to arrive; the gate weighs it against its own
 * measurements. If a target does not respond, nothing is reported and its gate relies on its own
 * counts.
 */
public final class LoadPoller implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final JsonMapper JSON = new JsonMapper();
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final int MAX_REPORT_BYTES = 4096;

  private final GateTable gates;
  private final RequestSender client;
  private final TimeSource time;
  private final ScheduledFuture<?> polling;
  private volatile boolean isClosed;

  private LoadPoller(
      GateTable gates,
      RequestSender client,
      TimeSource time,
      ScheduledExecutorService timers,
      Duration period) {
    this.gates = gates;
    this.client = client;
    this.time = time;
    this.polling =
        timers.scheduleWithFixedDelay(
            this::poll, period.toMillis(), period.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Starts a poller that polls every {@code period}. */
  public static LoadPoller start(
      GateTable gates,
      RequestSender client,
      TimeSource time,
      ScheduledExecutorService timers,
      Duration period) {
    return new LoadPoller(gates, client, time, timers, period);
  }

  private void poll() {
    try {
      gates.byService().values().forEach(this::poll);
    } catch (RuntimeException e) {
      if (isClosed) {
        return;
      }
      // A scheduled task that throws is never run again, and the gates would silently get no more
      // reports.
      logger.atWarning().withCause(e).log(
          "polling the load of targets failed; retrying after one period");
    }
  }

  private void poll(ServiceGate gate) {
    for (Holding holding : gate.heldTargets()) {
      HttpHost host = new HttpHost(holding.host(), holding.port());
      BasicHttpRequest request = new BasicHttpRequest("GET", "/load");
      request.setScheme(host.getSchemeName());
      request.setAuthority(new URIAuthority(host));
      LoadListener listener = new LoadListener(gate, holding, time.nanos());
      client.send(host, request, null, BodyPipe.of(new byte[0]), CONNECT_TIMEOUT, listener);
    }
  }

  @Override
  public void close() {
    isClosed = true;
    polling.cancel(false);
  }

  /**
   * One pending load report. It is timestamped with the time of the request, the earliest time at
   * which the load can have been measured.
   */
  private record LoadListener(ServiceGate gate, Holding holding, long requestedNanos)
      implements RequestSender.Listener {
    @Override
    public void onResponse(HttpResponse response, @Nullable EntityDetails details, BodyPipe body) {
      if (response.getCode() == 200) {
        BodyCollector.collect(body, MAX_REPORT_BYTES, this::reportLoad);
      }
    }

    private void reportLoad(byte[] bytes) {
      try {
        JsonNode load = JSON.readTree(bytes);
        if (load.path("incarnation").asLong(holding.targetIncarnation())
            != holding.targetIncarnation()) {
          return;
        }
        gate.onLoadReport(
            holding.target(),
            load.path("busy").asInt(),
            load.path("slots").asInt(holding.slots()),
            load.path("draining").asBoolean(),
            requestedNanos);
      } catch (IOException e) {
        logger.atFine().withCause(e).log("malformed load report of target %s", holding.target());
      }
    }

    @Override
    public void onComplete() {}

    @Override
    public void onFailure(boolean isSent, Exception cause) {
      logger.atFinest().withCause(cause).log("no load report from target %s", holding.target());
    }
  }
}
