package org.sageladder.entry.http;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
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
import org.sageladder.entry.request.Answers;

/** What operators and their tools read of one entry VM: metrics, state and events. */
public final class OperatorPort implements CallerExchange.Handler {
  private static final JsonMapper JSON = new JsonMapper();

  private final String vm;
  private final PrometheusMeterRegistry metrics;
  private final ControlPlane control;
  private final GateTable gates;

  private OperatorPort(
      String vm, PrometheusMeterRegistry metrics, ControlPlane control, GateTable gates) {
    this.vm = vm;
    this.metrics = metrics;
    this.control = control;
    this.gates = gates;
  }

  /** The routes of the operators' port of {@code vm}. */
  public static OperatorPort of(
      String vm, PrometheusMeterRegistry metrics, ControlPlane control, GateTable gates) {
    return new OperatorPort(vm, metrics, control, gates);
  }

  @Override
  public void begin(CallerExchange exchange) throws java.io.IOException {
    exchange.requestBody().discard();
    String path = exchange.request().getPath();
    if (path.equals("/v1/metrics")) {
      Answers.send(
          exchange,
          new BasicHttpResponse(200),
          ContentType.create("text/plain", "UTF-8"),
          metrics.scrape());
    } else if (path.equals("/v1/state")) {
      Answers.send(exchange, new BasicHttpResponse(200), state());
    } else {
      Answers.send(
          exchange,
          Result.notRun(
              ResultCode.UNKNOWN_ROUTE, "path '" + path + "' is not /v1/metrics or /v1/state"));
    }
  }

  private ObjectNode state() {
    ClusterState state = control.state();
    ObjectNode json = JSON.createObjectNode();
    json.put("vm", vm);
    json.put("readiness", control.readiness().name());
    ObjectNode revisions = json.putObject("revisions");
    state.contracts().forEach((name, contract) -> revisions.put(name, contract.revision()));
    ObjectNode views = json.putObject("views");
    state.views().values().forEach(view -> describe(view, views.putObject(view.zone())));
    ObjectNode held = json.putObject("gates");
    gates
        .byService()
        .forEach(
            (service, gate) ->
                held.putObject(service)
                    .put("slots", gate.slots())
                    .put("busy", gate.busy())
                    .put("queued", gate.queued()));
    return json;
  }

  private static void describe(ZoneView view, ObjectNode json) {
    json.put("number", view.number());
    var members = json.putArray("members");
    for (Member member : view.members()) {
      members
          .addObject()
          .put("vm", member.vm())
          .put("incarnation", member.incarnation())
          .put("leaving", member.leaving());
    }
    var holdings = json.putArray("holdings");
    for (Holding holding : view.holdings()) {
      holdings
          .addObject()
          .put("target", holding.target())
          .put("holder", holding.holder())
          .put("slots", holding.slots())
          .put("leaving", holding.leaving());
    }
  }
}
