package org.sageladder.entry.request;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.limits.ServiceGate;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.MembershipSettings;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;
import org.sageladder.core.steering.Route;
import org.sageladder.entry.control.ControlPlane;
import org.sageladder.entry.exchange.CallerExchange;
import org.sageladder.entry.gates.GateTable;
import org.sageladder.entry.gates.GuardedGate;

/**
 * Routes each request of a caller: answers a look-up, admits the request to a target that is held
 * here, or forwards it.
 */
public final class RequestRouter implements CallerExchange.Handler {
  private static final JsonMapper JSON = new JsonMapper();

  /** Retry-after hint while no target is held: holdings cannot change before the next heartbeat. */
  private static final Duration HEARTBEAT_INTERVAL =
      MembershipSettings.standard().heartbeatInterval();

  private final FlowContext context;
  private final String customer;
  private final String zone;
  private final ControlPlane control;
  private final GateTable gates;
  private final LookUps lookUps;
  private final PermitEnforcer permitEnforcer;
  private final PeerRequestHandler peerHandler;
  private final long maxBodyBytes;

  RequestRouter(
      FlowContext context,
      String customer,
      String zone,
      ControlPlane control,
      GateTable gates,
      LookUps lookUps,
      PermitEnforcer permitEnforcer,
      PeerRequestHandler peerHandler,
      long maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
    this.peerHandler = peerHandler;
    this.context = context;
    this.customer = customer;
    this.zone = zone;
    this.control = control;
    this.gates = gates;
    this.lookUps = lookUps;
    this.permitEnforcer = permitEnforcer;
  }

  @Override
  public void handle(CallerExchange exchange) throws IOException {
    String path = exchange.request().getPath();
    if (path.startsWith(LookUps.PATH)) {
      handleLookUp(exchange, path);
    } else if (path.startsWith(RequestHead.PATH_PREFIX)) {
      handleRequest(exchange, path);
    } else if (path.startsWith(PeerRequestHandler.PATH_PREFIX)) {
      peerHandler.handle(exchange);
    } else {
      refuse(
          exchange,
          Result.notRun(
              ResultCode.UNKNOWN_ROUTE,
              "path '"
                  + path
                  + "' is neither "
                  + LookUps.PATH
                  + " nor "
                  + RequestHead.PATH_PREFIX));
    }
  }

  private void handleLookUp(CallerExchange exchange, String path) throws IOException {
    LookUps.Query query = LookUps.Query.parse(path);
    Optional<Result.NotRun> refusal = validate(query.contract(), query.service());
    if (refusal.isEmpty() && query.block() < 0) {
      refusal =
          Optional.of(
              Result.notRun(
                  ResultCode.UNKNOWN_BLOCK,
                  "block '" + query.blockText() + "' must be a whole number of at least 0"));
    }
    if (refusal.isPresent()) {
      refuse(exchange, refusal.get());
      return;
    }
    Route route = lookUps.route(query.contract(), query.service(), query.block());
    if (route == null) {
      refuse(
          exchange,
          Result.notRun(
              ResultCode.UNKNOWN_BLOCK,
              "no entry VM is known for block " + query.block() + " of this contract"));
      return;
    }
    context.counters().countLookUp(query.service());
    HttpResponse head = new BasicHttpResponse(200);
    LocalReplies.addResultHeaders(head, ResultCode.OK);
    LocalReplies.send(exchange, head, toJson(query, route));
  }

  private ObjectNode toJson(LookUps.Query query, Route route) {
    ObjectNode json = JSON.createObjectNode();
    json.put("contract", query.contract());
    json.put("revision", route.revision());
    json.put("service", query.service());
    json.put("ttlMillis", route.ttlMillis());
    json.put("reason", route.reason());
    ArrayNode entries = json.putArray("entries");
    for (Member member : route.entries()) {
      entries
          .addObject()
          .put("vm", member.vm())
          .put("zone", member.zone())
          .put("address", member.host() + ":" + member.port());
    }
    Contract.Service service = service(query.service());
    boolean isRoutedHere = route.entries().get(0).vm().equals(context.vm());
    if (service != null && !service.repeatable() && isRoutedHere) {
      // Requests are forwarded to the issuer of their permit. A permit minted here for a request
      // that is routed to another entry VM would cost two more hops, so the first attempt there
      // gets the permit.
      json.put("permit", permitEnforcer.mint(service.name(), ""));
    }
    return json;
  }

  private void handleRequest(CallerExchange exchange, String path) throws IOException {
    exchange.countRequest();
    RequestHead.Parsed parsed = RequestHead.parse(exchange.request(), path);
    if (parsed instanceof RequestHead.Parsed.Rejected rejected) {
      refuse(exchange, rejected.result());
      return;
    }
    EntityDetails body = exchange.entity();
    if (body != null && body.getContentLength() > maxBodyBytes) {
      refuse(exchange, bodyTooLarge(body.getContentLength()));
      return;
    }
    exchange.requestBody().limitLength(maxBodyBytes);
    RequestHead head = ((RequestHead.Parsed.Accepted) parsed).head();
    Optional<Result.NotRun> refusal = validate(head.customer(), head.service());
    if (refusal.isPresent()) {
      refuse(exchange, refusal.get());
      return;
    }
    Contract.Service service = service(head.service());
    if (service == null) {
      refuse(exchange, Result.notRun(ResultCode.UNKNOWN_SERVICE, "the contract has just changed"));
      return;
    }
    if (head.deadline().compareTo(service.longestDeadline()) > 0) {
      refuse(exchange, deadlineTooLong(head, service));
      return;
    }
    context
        .events()
        .record(EventKind.RECEIVED, head.id(), customer, service.name(), 0, head.forwardedBy());
    String senderRegion = senderRegion(exchange, head);
    if (service.repeatable()) {
      admitOrForward(
          RequestFlow.start(context, exchange, head, service), head, service, senderRegion);
      return;
    }
    permitEnforcer.runIfPermitted(
        exchange, head, service, flow -> admitOrForward(flow, head, service, senderRegion));
  }

  private Result.NotRun bodyTooLarge(long length) {
    return Result.notRun(
        ResultCode.BODY_LENGTH_INVALID,
        "a body of " + length + " bytes exceeds the limit of " + maxBodyBytes + " bytes");
  }

  /**
   * Region that the request was sent from: the region of the caller, or of the entry VM that
   * forwarded it; empty if unknown.
   */
  private String senderRegion(CallerExchange exchange, RequestHead head) {
    ClusterState state = control.state();
    Contract contract = state.contracts().get(customer);
    if (contract == null) {
      return "";
    }
    if (head.forwardedBy().isEmpty()) {
      Header block = exchange.request().getFirstHeader(Headers.BLOCK);
      int number = block == null ? -1 : LookUps.Query.parseBlock(block.getValue());
      return number < 0 ? "" : contract.regionOfBlock(number).orElse("");
    }
    for (ZoneView view : state.views().values()) {
      if (view.members().stream().anyMatch(member -> member.vm().equals(head.forwardedBy()))) {
        return contract.regionOfZone(view.zone()).map(Contract.Region::name).orElse("");
      }
    }
    return "";
  }

  private static Result.NotRun deadlineTooLong(RequestHead head, Contract.Service service) {
    return Result.notRun(
        ResultCode.DEADLINE_INVALID,
        Headers.DEADLINE
            + " "
            + head.deadline().toMillis()
            + " exceeds the "
            + service.longestDeadline().toMillis()
            + " that the contract allows for "
            + service.name());
  }

  private void admitOrForward(
      RequestFlow flow, RequestHead head, Contract.Service service, String senderRegion) {
    ServiceGate gate = gates.gateWithTargets(head.service());
    if (gate != null) {
      Optional<Result.NotRun> linkRefusal =
          gates.linkLimiter().admitOrRefuse(senderRegion, service.requestClass());
      if (linkRefusal.isPresent()) {
        flow.refuse(linkRefusal.get());
        return;
      }
      flow.admitThrough(GuardedGate.of(gate, gate::inFlight, control.guard()));
      return;
    }
    Member holder = head.forwardedBy().isEmpty() ? nearestHolder(head.service()) : null;
    if (holder != null) {
      flow.forwardTo(holder);
      return;
    }
    flow.refuse(
        new Result.NotRun(
            head.forwardedBy().isEmpty() ? ResultCode.NO_TARGET : ResultCode.GATE_MOVED,
            HEARTBEAT_INTERVAL,
            "no target of " + head.service() + " is held by this entry VM"));
  }

  /**
   * The nearest entry VM that holds a target of {@code service}: in this zone, else in this region,
   * else in another region.
   */
  private @Nullable Member nearestHolder(String service) {
    ClusterState state = control.state();
    Contract contract = state.contracts().get(customer);
    if (contract == null) {
      return null;
    }
    Member holderInOwnZone = holderInZone(state, zone, service);
    if (holderInOwnZone != null) {
      return holderInOwnZone;
    }
    String region = contract.regionOfZone(zone).map(Contract.Region::name).orElse("");
    Member crossRegionHolder = null;
    for (Contract.Region candidate : contract.regions()) {
      for (String otherZone : candidate.zones()) {
        Member holder = holderInZone(state, otherZone, service);
        if (holder != null && candidate.name().equals(region)) {
          return holder;
        }
        if (holder != null && crossRegionHolder == null) {
          crossRegionHolder = holder;
        }
      }
    }
    return crossRegionHolder;
  }

  private @Nullable Member holderInZone(ClusterState state, String inZone, String service) {
    ZoneView view = state.views().get(inZone);
    if (view == null) {
      return null;
    }
    for (Holding holding : view.holdings()) {
      if (!holding.service().equals(service) || holding.isDraining()) {
        continue;
      }
      for (Member member : view.members()) {
        if (member.vm().equals(holding.holder()) && !member.vm().equals(context.vm())) {
          return member;
        }
      }
    }
    return null;
  }

  private Contract.@Nullable Service service(String name) {
    Contract contract = control.state().contracts().get(customer);
    return contract == null ? null : contract.service(name).orElse(null);
  }

  private Optional<Result.NotRun> validate(String contract, String service) {
    if (!contract.equals(customer)) {
      return Optional.of(
          Result.notRun(
              ResultCode.UNKNOWN_CONTRACT,
              "contract '" + contract + "' is not served here; '" + customer + "' is"));
    }
    Contract contractInForce = control.state().contracts().get(customer);
    if (contractInForce == null) {
      return Optional.of(
          new Result.NotRun(
              ResultCode.NO_CONTRACT_IN_FORCE,
              Duration.ofSeconds(1),
              "this entry VM has not yet received the contract in force"));
    }
    if (contractInForce.service(service).isEmpty()) {
      return Optional.of(
          Result.notRun(
              ResultCode.UNKNOWN_SERVICE,
              "service '"
                  + service
                  + "' is not in the contract; it has "
                  + contractInForce.services().stream().map(Contract.Service::name).toList()));
    }
    return Optional.empty();
  }

  /**
   * Refuses a request. If it has a permit, the outcome is unknown instead of not-run, since another
   * copy may have reached the issuer.
   */
  private void refuse(CallerExchange exchange, Result.NotRun refusal) throws IOException {
    boolean hasPermit =
        exchange.request().containsHeader(Headers.PERMIT)
            && !exchange.request().containsHeader(Headers.DISPATCH_TOKEN);
    Result result = hasPermit ? PermitEnforcer.unknownUnlessIssuer(refusal) : refusal;
    context.counters().countResult("", result.code());
    exchange.requestBody().discard();
    LocalReplies.send(exchange, result);
    exchange.sendContinue();
  }
}
