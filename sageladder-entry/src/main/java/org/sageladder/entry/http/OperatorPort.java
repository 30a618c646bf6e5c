package org.sageladder.entry.http;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.entry.control.ControlPlane;
import org.sageladder.entry.exchange.CallerExchange;
import org.sageladder.entry.gates.GateTable;
import org.sageladder.entry.request.LocalReplies;
import org.sageladder.entry.request.LookUpExplainer;
import org.sageladder.platform.event.EventPage;
import org.sageladder.protocol.ZoneReport;

/**
 * Serves operators and their tools: metrics, state, events, look-up explanations and planned stops.
 */
public final class OperatorPort implements CallerExchange.Handler {
  private static final JsonMapper JSON = new JsonMapper();
  private static final Pattern EVENTS = Pattern.compile("/v1/events(?:\\?after=(\\d{1,18}))?");

  private final String vm;
  private final PrometheusMeterRegistry metrics;
  private final ControlPlane controlPlane;
  private final GateTable gateTable;
  private final EventSource events;
  private final LookUpExplainer lookUpExplainer;
  private final Runnable startDrain;

  private OperatorPort(
      String vm,
      PrometheusMeterRegistry metrics,
      ControlPlane controlPlane,
      GateTable gateTable,
      EventSource events,
      LookUpExplainer lookUpExplainer,
      Runnable startDrain) {
    this.vm = vm;
    this.metrics = metrics;
    this.controlPlane = controlPlane;
    this.gateTable = gateTable;
    this.events = events;
    this.lookUpExplainer = lookUpExplainer;
    this.startDrain = startDrain;
  }

  /** Source of the events that this port serves. */
  @FunctionalInterface
  public interface EventSource {
    /** Returns the events after {@code sequence}. */
    EventPage readAfter(long sequence);
  }

  /**
   * Creates the request handler of the operators' port of {@code vm}.
   *
   * @param startDrain starts a planned stop; must return at once and may be called more than once
   */
  public static OperatorPort of(
      String vm,
      PrometheusMeterRegistry metrics,
      ControlPlane controlPlane,
      GateTable gateTable,
      EventSource events,
      LookUpExplainer lookUpExplainer,
      Runnable startDrain) {
    return new OperatorPort(
        vm, metrics, controlPlane, gateTable, events, lookUpExplainer, startDrain);
  }

  @Override
  public void handle(CallerExchange exchange) throws java.io.IOException {
    exchange.requestBody().discard();
    String path = exchange.request().getPath();
    if (path.equals("/v1/metrics")) {
      LocalReplies.send(
          exchange,
          new BasicHttpResponse(200),
          ContentType.create("text/plain", "UTF-8"),
          metrics.scrape());
    } else if (path.equals("/v1/state")) {
      LocalReplies.send(exchange, new BasicHttpResponse(200), state());
    } else if (path.equals("/v1/events") || path.startsWith("/v1/events?")) {
      sendEvents(exchange, path);
    } else if (path.startsWith("/v1/explain?")) {
      explain(exchange, path);
    } else if (path.equals("/v1/drain") && exchange.request().getMethod().equals("POST")) {
      LocalReplies.send(
          exchange, new BasicHttpResponse(202), JSON.createObjectNode().put("draining", true));
      startDrain.run();
    } else {
      LocalReplies.send(
          exchange,
          Result.notRun(
              ResultCode.UNKNOWN_ROUTE,
              "path '"
                  + path
                  + "' is not /v1/metrics, /v1/state, /v1/events?after=N,"
                  + " /v1/explain?contract=C&service=S&block=N or POST /v1/drain"));
    }
  }

  private void sendEvents(CallerExchange exchange, String path) {
    Matcher query = EVENTS.matcher(path);
    if (!query.matches()) {
      LocalReplies.send(
          exchange,
          Result.notRun(
              ResultCode.MALFORMED_REQUEST, "query of '" + path + "' is not ?after=WHOLE-NUMBER"));
      return;
    }
    long after = query.group(1) == null ? 0 : Long.parseLong(query.group(1));
    LocalReplies.send(
        exchange,
        new BasicHttpResponse(200),
        ContentType.APPLICATION_JSON,
        new String(events.readAfter(after).toJson(), StandardCharsets.UTF_8));
  }

  private void explain(CallerExchange exchange, String path) {
    ObjectNode json = lookUpExplainer.explain(path, controlPlane.state());
    if (json == null) {
      LocalReplies.send(
          exchange,
          Result.notRun(
              ResultCode.UNKNOWN_SERVICE,
              "'" + path + "' names no contract, service and client block in force here"));
    } else {
      LocalReplies.send(exchange, new BasicHttpResponse(200), json);
    }
  }

  private ObjectNode state() {
    ClusterState state = controlPlane.state();
    ObjectNode json = JSON.createObjectNode();
    json.put("vm", vm);
    json.put("readiness", controlPlane.readiness().name());
    ObjectNode revisions = json.putObject("revisions");
    state.contracts().forEach((name, contract) -> revisions.put(name, contract.revision()));
    ObjectNode views = json.putObject("views");
    state.views().values().forEach(view -> describe(view, views.putObject(view.zone())));
    ObjectNode zones = json.putObject("zones");
    controlPlane.zoneReports().forEach(report -> describe(report, zones.putObject(report.zone())));
    ObjectNode gateStates = json.putObject("gates");
    gateTable
        .byService()
        .forEach(
            (service, gate) ->
                gateStates
                    .putObject(service)
                    .put("slots", gate.usableSlots())
                    .put("busy", gate.busySlots())
                    .put("queued", gate.queuedCount()));
    return json;
  }

  /** Writes the last report of a zone's relay on the contract in force there. */
  private static void describe(ZoneReport report, ObjectNode json) {
    json.put("customer", report.customer());
    json.put("takenAtMillis", report.takenAtMillis());
    json.put("ageMillis", Math.max(0, System.currentTimeMillis() - report.takenAtMillis()));
    json.put("members", report.memberCount());
    json.put("lowestRevision", report.lowestRevision());
    var lagging = json.putArray("lagging");
    report.laggingVms().forEach(lagging::add);
  }

  private static void describe(ZoneView view, ObjectNode json) {
    json.put("number", view.number());
    var members = json.putArray("members");
    for (Member member : view.members()) {
      members
          .addObject()
          .put("vm", member.vm())
          .put("incarnation", member.incarnation())
          .put("leaving", member.isDraining());
    }
    var holdings = json.putArray("holdings");
    for (Holding holding : view.holdings()) {
      holdings
          .addObject()
          .put("target", holding.target())
          .put("holder", holding.holder())
          .put("slots", holding.slots())
          .put("leaving", holding.isDraining());
    }
  }
}
